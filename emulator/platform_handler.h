// Serves the emulated table, objects and machine list over HTTP. If a response is lost, the
// connection is closed without one.
#pragma once

#include "emulator/emulated_platform.h"
#include "src/core/http_message.h"

namespace chalkshed {

class PlatformHandler : public HttpHandler {
 public:
  PlatformHandler(EmulatedPlatform& platform, Dispatcher& dispatcher);
  void handle(HttpRequest request, ResponseWriterPtr writer) override;

 private:
  void handle_table(const HttpRequest& request, ResponseWriterPtr writer);
  void handle_object(HttpRequest request, ResponseWriterPtr writer);

  EmulatedTableStore table_;
  EmulatedObjectStore objects_;
  EmulatedMachineList machines_;
};

}  // namespace chalkshed
