#ifndef CHALKSHED_ITEM_WAITS_API_H
#define CHALKSHED_ITEM_WAITS_API_H

/** \file
 * Tells operators what the accepted batch items of a node wait for.
 *
 *     GET /admin/items    {"items": [{"job", "item", "content", "wait", "waited_ms", "ends_in_ms",
 *                         "workers_ended"}], "complete"}
 *
 * "ends_in_ms" is absent where something else than time ends the wait, and "complete" is false if
 * there are more items than are listed. */

#include <functional>
#include <vector>

#include "chalkshed/item_wait.h"
#include "src/core/http_message.h"

namespace chalkshed {

class item_waits_api : public HttpHandler {
public:
    /** \param list Returns the waiting items, at most as many as its argument says. */
    explicit item_waits_api(std::function<std::vector<waiting_item>(size_t limit)> list)
        : list_(std::move(list)) {}
    void handle(HttpRequest request, ResponseWriterPtr writer) override;

private:
    const std::function<std::vector<waiting_item>(size_t limit)> list_;
};

} // namespace chalkshed

#endif
