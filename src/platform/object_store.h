// The platform's object store. Writers choose the names; the content of a name never changes
// (writers use a new name for every attempt).
#pragma once

#include <memory>
#include <string>
#include <variant>

#include "src/core/error.h"

namespace chalkshed {

class ObjectStore {
 public:
  virtual ~ObjectStore() = default;
  // Errors: kStoreUnavailable, kOutcomeUnknown (the object may exist; a repeated put is safe).
  virtual void put(std::string name, std::shared_ptr<const std::string> content,
                   Callback<std::monostate> callback) = 0;
  // Errors: kNotFound, kStoreUnavailable.
  virtual void get(std::string name, Callback<std::shared_ptr<const std::string>> callback) = 0;
  // Succeeds if the object does not exist.
  virtual void remove(std::string name, Callback<std::monostate> callback) = 0;
};

}  // namespace chalkshed
