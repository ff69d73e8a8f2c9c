#include "chalkshed/origin_decision.h"

namespace chalkshed {
namespace {

using kind = version_span::kind;

/** The evidence of all nodes, if none has a record. */
class version_evidence {
public:
    version_evidence(const origin_evidence &own, const std::vector<origin_evidence> &peers)
        : current_(own.current) {
        add(own);
        for (const origin_evidence &peer : peers) {
            add(peer);
        }
    }
    bool several() const {
        return several_;
    }
    stream_origin origin() const {
        return several_ || !covered_ || !current_
                   ? stream_origin{}
                   : stream_origin{one_, origin_source::kSoleVersion, {}};
    }

private:
    void add(const origin_evidence &evidence) {
        const version_span &versions = evidence.versions;
        several_ =
            several_ || versions.known == kind::kSeveral || evidence.route == route_span::kChanged;
        covered_ = covered_ || (versions.known == kind::kSole && evidence.current &&
                                evidence.route == route_span::kSole);
        if (versions.software != software_id::kUnknown) {
            several_ = several_ || (one_ != software_id::kUnknown && one_ != versions.software);
            one_ = versions.software;
        }
    }

    software_id one_ = software_id::kUnknown;
    bool several_ = false;
    bool covered_ = false;
    const bool current_;
};

/** \return The recorded version; kUnknown without a record, or if records contradict each other. */
software_id recorded_by(const std::vector<origin_evidence> &peers) {
    software_id recorded = software_id::kUnknown;
    for (const origin_evidence &peer : peers) {
        if (peer.recorded == software_id::kUnknown) {
            continue;
        }
        if (recorded != software_id::kUnknown && recorded != peer.recorded) {
            return software_id::kUnknown;
        }
        recorded = peer.recorded;
    }
    return recorded;
}

bool any_record(const std::vector<origin_evidence> &peers) {
    for (const origin_evidence &peer : peers) {
        if (peer.recorded != software_id::kUnknown) {
            return true;
        }
    }
    return false;
}

} // namespace

std::string_view origin_source_name(origin_source source) {
    switch (source) {
    case origin_source::kOwnRecord:
        return "own_record";
    case origin_source::kPeerRecord:
        return "peer_record";
    case origin_source::kSoleVersion:
        return "sole_version";
    case origin_source::kUnknown:
        return "unknown";
    }
    return "unknown";
}

stream_origin decide_origin(const origin_evidence &own, const std::vector<origin_evidence> &peers) {
    if (own.recorded != software_id::kUnknown) {
        return {own.recorded, origin_source::kOwnRecord, {}};
    }
    if (any_record(peers)) {
        const software_id recorded = recorded_by(peers);
        return recorded == software_id::kUnknown
                   ? stream_origin{}
                   : stream_origin{recorded, origin_source::kPeerRecord, {}};
    }
    return version_evidence(own, peers).origin();
}

bool several_versions(const origin_evidence &own, const std::vector<origin_evidence> &peers) {
    return version_evidence(own, peers).several();
}

} // namespace chalkshed
