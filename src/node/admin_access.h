// Access control for the operator paths, /admin/...
#pragma once

#include <optional>
#include <string>

#include "src/core/error.h"
#include "src/core/http_message.h"

namespace chalkshed {

class AdminAccess {
 public:
  // @param key bearer token that operators send; if empty, only loopback peers are served.
  explicit AdminAccess(std::string key) : key_(std::move(key)) {}

  // @return the error with which a request to an operator path is refused, or nothing. Requests
  // to other paths are allowed. Errors, Ran::kNo: kUnauthenticated.
  std::optional<Error> refusal(const HttpRequest& request) const;

 private:
  const std::string key_;
};

// @return whether the IP address is a loopback address (127.0.0.0/8, ::1).
bool is_loopback(const std::string& ip);

}  // namespace chalkshed
