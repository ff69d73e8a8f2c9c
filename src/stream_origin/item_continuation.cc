#include "chalkshed/item_continuation.h"

#include <algorithm>

namespace chalkshed {

item_continuation continue_item(const item_state &item, const version_span &versions, bool served) {
    if (!item.has_text) {
        return {};
    }
    if (item.software == software_id::kUnknown) {
        const bool sole = versions.known == version_span::kind::kSole;
        return sole ? item_continuation{item_step::kGoOn, versions.software}
                    : item_continuation{item_step::kStartOver};
    }
    if (served) {
        const bool waited_enough = item.waited >= std::max(kWorkersReturnWithin, item.ran);
        return {item_step::kGoOn, item.software, waited_enough};
    }
    return item.waited < kWorkersReturnWithin ? item_continuation{item_step::kWait, item.software}
                                              : item_continuation{item_step::kStartOver};
}

} // namespace chalkshed
