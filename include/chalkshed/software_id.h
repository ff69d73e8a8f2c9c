#ifndef CHALKSHED_SOFTWARE_ID_H
#define CHALKSHED_SOFTWARE_ID_H

/** \file
 * Identifies the software that a worker runs. What two versions write does not fit together: a
 * stream may only go on at workers with the id of the worker that began it. */

#include <cstdint>
#include <string>
#include <string_view>

namespace chalkshed {

/** Hash of service and version, equal at all nodes. kUnknown is the id of no worker. */
enum class software_id : uint64_t { kUnknown = 0 };

/** \param version As the worker's record names it; empty if the record has none.
 * \param incarnation Of the worker. Without a version, only the very same incarnation certainly
 * runs the same software. */
software_id software_of(std::string_view service, std::string_view version,
                        std::string_view incarnation);

/** \return The id as 16 hexadecimal digits, for log lines and rows. */
std::string software_text(software_id software);
/** \return kUnknown if the text is not of that form. */
software_id parse_software(std::string_view text);

} // namespace chalkshed

#endif
