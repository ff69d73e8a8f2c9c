// Source of random numbers, injected so that runs can be reproduced from a seed.
#pragma once

#include <cstdint>
#include <random>

namespace chalkshed {

class RandomGenerator {
 public:
  virtual ~RandomGenerator() = default;
  virtual uint64_t next() = 0;
  // @return a number in [0, bound); 0 if bound is 0. The slight modulo bias is acceptable here.
  uint64_t below(uint64_t bound) { return bound == 0 ? 0 : next() % bound; }
  // @return a number in [0, 1).
  double unit() { return static_cast<double>(next() >> 11U) * 0x1.0p-53; }
};

// Mersenne Twister with a fixed seed; the same seed gives the same sequence on every platform.
class SeededRandomGenerator : public RandomGenerator {
 public:
  explicit SeededRandomGenerator(uint64_t seed) : engine_(seed) {}
  uint64_t next() override { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace chalkshed
