// Operators' HTTP API for workers: GET /admin/workers, POST /admin/workers/{id}/drain and
// POST /admin/workers/{id}/restore.
#pragma once

#include "src/core/http_message.h"
#include "src/routing/router_impl.h"

namespace chalkshed {

class WorkerApi : public HttpHandler {
 public:
  explicit WorkerApi(RouterImpl& router) : router_(router) {}
  void handle(HttpRequest request, ResponseWriterPtr writer) override;

 private:
  HttpResponse list() const;
  HttpResponse order(const std::string& worker, bool drain);

  RouterImpl& router_;
};

}  // namespace chalkshed
