// Emulated workers, back ends and platform services, served over HTTP by one process.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "emulator/backend_handler.h"
#include "emulator/engine_handler.h"
#include "emulator/fleet_settings.h"
#include "emulator/platform_handler.h"
#include "src/event/event_dispatcher.h"
#include "src/http/http_server.h"

namespace chalkshed {

class Fleet : public HttpHandler {
 public:
  // Listens on all addresses. Throws std::runtime_error if an address cannot be bound.
  Fleet(FleetSettings settings, const TimeSource& time_source, EventDispatcher& dispatcher);

  // Serves the control port: the platform services, GET /status, GET and POST /faults and POST
  // /machines.
  void handle(HttpRequest request, ResponseWriterPtr writer) override;

 private:
  // One worker or back end. Without a server it is dead and refuses connections.
  struct Host {
    Machine machine;
    std::unique_ptr<EngineModel> engine;  // workers
    std::unique_ptr<EngineHandler> engine_handler;
    std::unique_ptr<BackendHandler> backend;  // back ends
    std::unique_ptr<HttpServer> server;

    HttpHandler& handler() const;
  };

  void add_group(const MachineGroup& group);
  std::unique_ptr<Host> make_host(const MachineGroup& group, uint32_t number);
  Host* find_host(const std::string& id);
  void set_state(Host& host, const std::string& state);
  void kill(Host& host);
  void restart_host(Host& host);
  void publish_machines();
  // @return the first error in the body, if any; the faults before it have been applied.
  std::optional<Error> apply_faults(const std::string& body);
  std::optional<Error> add_machines(const std::string& body);
  std::string faults_text() const;
  std::string status_text() const;

  FleetSettings settings_;
  const TimeSource& time_source_;
  EventDispatcher& dispatcher_;
  SeededRandomGenerator random_;
  std::unique_ptr<RunLog> run_log_;  // null: nothing is recorded
  EmulatedPlatform platform_;
  PlatformHandler platform_handler_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<Machine> nodes_;
  std::unique_ptr<HttpServer> control_server_;
};

}  // namespace chalkshed
