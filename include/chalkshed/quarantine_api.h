#ifndef CHALKSHED_QUARANTINE_API_H
#define CHALKSHED_QUARANTINE_API_H

/** \file
 * Lets operators list the suspect and quarantined contents and parts of prompts, and release one.
 *
 *     GET  /admin/quarantine                    {"contents": [{"content", "workers_ended", "held",
 *                                               "next_trial_ms", "kind"}]}
 *     POST /admin/quarantine/CONTENT/release    the same, without the released content
 *
 * Only callers on this machine may release a content, because there are no credentials for
 * operators here. */

#include <string>

#include "chalkshed/request_quarantine.h"
#include "src/core/http_message.h"

namespace chalkshed {

class quarantine_api : public HttpHandler {
public:
    /** \param own_ip Address of this machine. All references outlive this. */
    quarantine_api(TimeSource &time_source, request_quarantine &quarantine, std::string own_ip)
        : time_source_(time_source), quarantine_(quarantine), own_ip_(std::move(own_ip)) {}
    void handle(HttpRequest request, ResponseWriterPtr writer) override;

private:
    std::string listing() const;
    bool is_local(const HttpRequest &request) const;
    HttpResponse release(const HttpRequest &request, std::string_view content);

    TimeSource &time_source_;
    request_quarantine &quarantine_;
    const std::string own_ip_;
};

} // namespace chalkshed

#endif
