#ifndef CHALKSHED_NODE_ANNOUNCEMENT_H
#define CHALKSHED_NODE_ANNOUNCEMENT_H

/** \file
 * The row by which a node announces itself to the others: the value of its key in the node table.
 * Any writer may leave a row there, so one that cannot be read is an error and nothing else. */

#include <string>
#include <string_view>

#include "src/core/address.h"
#include "src/core/error.h"

namespace chalkshed {

struct node_announcement {
    /** Unique for this start of the node. */
    std::string session;
    std::string zone;
    /** Where datagrams and calls of other nodes arrive. */
    Address address;
    /** Port for callers, and for jobs that other nodes forward; 0: none. */
    uint16_t caller_port = 0;
    /** Share of a processor core. */
    double capacity = 0;
};

std::string encode_node_announcement(const node_announcement &announcement);
/** Errors: kInvalidRequest, with the field that cannot be read. Fields that are absent keep their
 * defaults, as in rows of older builds; a session is required. */
Expected<node_announcement> decode_node_announcement(std::string_view value);

} // namespace chalkshed

#endif
