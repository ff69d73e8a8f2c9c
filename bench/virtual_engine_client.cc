#include "bench/virtual_engine_client.h"

namespace chalkshed::bench {
namespace {

using Target = VirtualEngineClient::Target;

// Receives the engine's events and forwards them with network latency to the stream, if it still
// exists.
class RemoteSink : public GenerateCallbacks {
 public:
  RemoteSink(VirtualDispatcher& dispatcher, Duration one_way, GenerateCallbacks& receiver,
             std::weak_ptr<char> stream)
      : dispatcher_(dispatcher),
        one_way_(one_way),
        receiver_(receiver),
        stream_(std::move(stream)) {}

  void on_chunk(const GenerateChunk& chunk) override {
    send([chunk](GenerateCallbacks& receiver) { receiver.on_chunk(chunk); });
  }
  void on_complete(const GenerateResult& result) override {
    send([result](GenerateCallbacks& receiver) { receiver.on_complete(result); });
  }
  void on_error(const Error& error) override {
    send([error](GenerateCallbacks& receiver) { receiver.on_error(error); });
  }

 private:
  template <typename Event>
  void send(Event event) {
    dispatcher_.schedule(one_way_, [stream = stream_, event, &receiver = receiver_] {
      if (!stream.expired()) {
        event(receiver);
      }
    });
  }

  VirtualDispatcher& dispatcher_;
  Duration one_way_;
  GenerateCallbacks& receiver_;
  std::weak_ptr<char> stream_;
};

class VirtualStream : public GenerateStream {
 public:
  VirtualStream(VirtualDispatcher& dispatcher, const Target& target, GenerateRequest request,
                GenerateCallbacks& receiver)
      : dispatcher_(dispatcher),
        target_(target),
        attempt_id_(request.attempt_id),
        alive_(std::make_shared<char>()),
        sink_(std::make_shared<RemoteSink>(dispatcher, target.one_way, receiver, alive_)) {
    dispatcher_.schedule(
        target_.one_way, [engine = target_.engine, sink = sink_, request = std::move(request)] {
          if (const std::optional<Error> refusal = engine->submit(request, *sink)) {
            sink->on_error(*refusal);
          }
        });
  }
  ~VirtualStream() override {
    dispatcher_.schedule(target_.one_way,
                         [engine = target_.engine, sink = sink_, id = attempt_id_] {
                           engine->cancel(id);  // keeps the sink alive until here
                         });
  }
  VirtualStream(const VirtualStream&) = delete;
  VirtualStream& operator=(const VirtualStream&) = delete;

 private:
  VirtualDispatcher& dispatcher_;
  Target target_;
  std::string attempt_id_;
  std::shared_ptr<char> alive_;
  std::shared_ptr<RemoteSink> sink_;
};

}  // namespace

GenerateStreamPtr VirtualEngineClient::generate(const Address& worker, GenerateRequest request,
                                                GenerateCallbacks& callbacks) {
  return std::make_unique<VirtualStream>(dispatcher_, targets_.at(worker), std::move(request),
                                         callbacks);
}

void VirtualEngineClient::fetch_load(const Address& worker, Callback<EngineLoad> callback) {
  const Target target = targets_.at(worker);
  dispatcher_.schedule(target.one_way, [this, target, callback = std::move(callback)] {
    dispatcher_.schedule(target.one_way,
                         [load = target.engine->reported_load(), callback] { callback(load); });
  });
}

}  // namespace chalkshed::bench
