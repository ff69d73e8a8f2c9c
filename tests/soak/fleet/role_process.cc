#include "tests/soak/fleet/role_process.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "src/core/call_after.h"
#include "src/core/digest.h"

namespace chalkshed::soak {
namespace {

Duration quantile(const std::vector<Duration> &sorted, double share) {
    if (sorted.empty()) {
        return Duration(0);
    }
    return sorted[static_cast<size_t>(share * static_cast<double>(sorted.size() - 1))];
}

} // namespace

role_process::role_process(role_options with, const Address &control)
    : options(std::move(with)),
      random(content_hash(options.role + std::to_string(options.number), options.seed)),
      client(dispatcher), records_(options.folder, options.role, options.number),
      flush_timer_(dispatcher.create_timer([this] { flush_regularly(); })),
      control_server_(std::make_unique<HttpServer>(dispatcher, control, *this)) {
    on_command("stop", [this](const nlohmann::json & /*fields*/) {
        run_after(std::chrono::milliseconds(20), [this] { stop(); });
        return nlohmann::json::object();
    });
    on_command("measure", [this](const nlohmann::json & /*fields*/) {
        start_lag_measurement();
        return nlohmann::json::object();
    });
    flush_timer_->enable(record_writer::kFlushInterval);
}

role_process::~role_process() {
    record_lag();
}

void role_process::on_command(const std::string &name, command_handler handler) {
    commands_["/" + name] = std::move(handler);
}

void role_process::run() {
    dispatcher.run();
}

void role_process::start_lag_measurement() {
    lag_meter_ = std::make_unique<lag_meter>(dispatcher, time_source_,
                                             [this](Duration late) { lags_.push_back(late); });
}

void role_process::stop() {
    dispatcher.stop();
}

void role_process::run_after(Duration delay, std::function<void()> function) {
    call_after(dispatcher, delay, lifetime_.guard(std::move(function)));
}

void role_process::handle(HttpRequest request, ResponseWriterPtr writer) {
    const auto found = commands_.find(request.path);
    if (found == commands_.end()) {
        writer->respond({404, {}, ""});
        return;
    }
    const nlohmann::json fields = nlohmann::json::parse(request.body, nullptr, false);
    writer->respond({200, {}, found->second(fields).dump()});
}

void role_process::flush_regularly() {
    records_.flush();
    flush_timer_->enable(record_writer::kFlushInterval);
}

void role_process::record_lag() {
    std::sort(lags_.begin(), lags_.end());
    process_lag lag;
    lag.at = now();
    lag.process = options.role + "-" + std::to_string(options.number);
    lag.samples = lags_.size();
    lag.p50 = quantile(lags_, 0.5);
    lag.p99 = quantile(lags_, 0.99);
    lag.most = quantile(lags_, 1);
    add_record(lag);
}

void send_command(HttpClient &client, const Address &control, const std::string &name,
                  const nlohmann::json &fields, Callback<HttpResponse> callback) {
    HttpRequest request;
    request.method = "POST";
    request.path = "/" + name;
    request.body = fields.dump();
    HttpCallOptions call_options;
    call_options.pool = "control";
    client.fetch(control, request, call_options, std::move(callback));
}

} // namespace chalkshed::soak
