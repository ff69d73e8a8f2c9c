// Guards against callbacks that run after their receiver is destroyed.
#pragma once

#include <memory>
#include <utility>

namespace chalkshed {

// Member of a component that registers asynchronous callbacks. Declare it last, so that it is
// destroyed first. A callback wrapped by guard() does nothing once the component is destroyed.
//
//   store_.read(key, lifetime_.guard([this](Expected<...> row) { ... }));
class Lifetime {
 public:
  Lifetime() : token_(std::make_shared<char>()) {}
  Lifetime(const Lifetime&) = delete;
  Lifetime& operator=(const Lifetime&) = delete;

  template <typename Function>
  auto guard(Function function) const {
    return
        [weak = std::weak_ptr<char>(token_),
         function = std::move(function)]<typename... Arguments>(Arguments&&... arguments) mutable {
          if (!weak.expired()) {
            function(std::forward<Arguments>(arguments)...);
          }
        };
  }

 private:
  std::shared_ptr<char> token_;
};

}  // namespace chalkshed
