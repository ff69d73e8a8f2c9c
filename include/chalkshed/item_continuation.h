#ifndef CHALKSHED_ITEM_CONTINUATION_H
#define CHALKSHED_ITEM_CONTINUATION_H

/** \file
 * Decides how a batch item with a partial text runs next. Its text may only be continued by the
 * software version that wrote it. An item may run more than once, so when that version is gone, or
 * only its workers have no room for longer than its runs took, the item starts over. */

#include <cstdint>

#include "chalkshed/service_versions.h"
#include "chalkshed/software_id.h"
#include "src/core/time.h"

namespace chalkshed {

enum class item_step : uint8_t {
    /** It has no text, and any worker may take it. */
    kBegin,
    /** It goes on at a worker of item_continuation::software. */
    kGoOn,
    /** It waits for such a worker. */
    kWait,
    /** Its text is dropped, and any worker may take it. */
    kStartOver,
};

struct item_state {
    bool has_text = false;
    /** That wrote the text; kUnknown if no record says so. */
    software_id software = software_id::kUnknown;
    /** How long the item has been waiting for a worker of that version. */
    Duration waited{0};
    /** How long the runs took that wrote the text, as far as this owner knows. */
    Duration ran{0};
};

struct item_continuation {
    item_step step = item_step::kBegin;
    software_id software = software_id::kUnknown;
    /** With kGoOn: it has waited for as long as the runs took that wrote its text, so if those
     * workers have no room and others have, it starts over there. */
    bool may_start_over = false;
};

/** Workers whose entries lapsed while the store was away are listed again within this time. */
inline constexpr Duration kWorkersReturnWithin = std::chrono::milliseconds(2500);

/** \param versions That served since the job was accepted.
 * \param served Whether a listed worker runs item_state::software. */
item_continuation continue_item(const item_state &item, const version_span &versions, bool served);

} // namespace chalkshed

#endif
