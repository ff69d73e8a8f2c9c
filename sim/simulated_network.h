// Network between simulated processes: latency by zone, partitions, one-way loss, and datagrams
// that are lost, duplicated, delayed and reordered. Connections deliver in order, as TCP does.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sim/virtual_time.h"
#include "src/core/address.h"
#include "src/core/http_message.h"
#include "src/core/random.h"
#include "src/transport/peer_transport.h"

namespace chalkshed {

class SimulatedConnection;
class SimulatedEngine;

// A machine that runs at most one simulated process. The owner of that process starts and ends it.
struct SimulatedHost {
  std::string name;
  std::string zone;
  Address http_address;
  Address peer_address;
  // Event loop of the process; null while none runs.
  std::unique_ptr<VirtualDispatcher> dispatcher;
  // Incremented with each start and end, so that messages to one process never reach the next.
  uint64_t generation = 0;
  HttpHandler* handler = nullptr;
  bool listening = false;  // accepts new connections
  SimulatedEngine* engine = nullptr;
  DatagramTransport::Receiver receiver;
  std::vector<std::weak_ptr<SimulatedConnection>> connections;
};

// Why a connection ended, as reported to the remaining side.
enum class CloseReason {
  kClosed,  // the other side closed it
  kReset,   // the other side's process crashed
  kExited,  // the other side's process exited in a planned stop
  kLost,    // the network lost a message of it
};

struct NetworkKnobs {
  Duration within_zone = std::chrono::microseconds(250);  // one way
  Duration between_zones = std::chrono::milliseconds(1);
  Duration outside = std::chrono::milliseconds(3);  // to and from callers, whose zone is empty
  // A sender closes a connection whose data stays unacknowledged for this time.
  Duration retransmission_limit = std::chrono::seconds(5);
};

// Probabilities for each datagram between any two hosts; may be changed during a run.
struct DatagramFaults {
  double loss = 0;
  double duplication = 0;
  double reordering = 0;  // delayed by up to reordering_delay
  Duration reordering_delay = std::chrono::milliseconds(300);
};

class SimulatedNetwork {
 public:
  SimulatedNetwork(VirtualClock& clock, RandomGenerator& random, const NetworkKnobs& knobs = {})
      : clock_(clock), random_(random), knobs_(knobs) {}

  SimulatedHost& add_host(std::string name, std::string zone, Address http, Address peer);
  SimulatedHost* find_host(const std::string& name);
  SimulatedHost* find_host(const Address& address);  // by either address

  // Starts a process: gives the host an event loop.
  void start_process(SimulatedHost& host);
  // Ends the process. Peers are notified after the network latency, except when the machine itself
  // fails (`silently`). The caller destroys the process's objects afterwards, and then its event
  // loop with destroy_dispatcher().
  void end_process(SimulatedHost& host, CloseReason reason, bool silently);
  static void destroy_dispatcher(SimulatedHost& host) { host.dispatcher.reset(); }

  // Blocks one direction. Calls are counted: each needs its own heal_one_way().
  void cut_one_way(const std::string& from, const std::string& to) { ++cuts_[{from, to}]; }
  void heal_one_way(const std::string& from, const std::string& to);
  DatagramFaults& datagram_faults() { return datagram_faults_; }

  Duration latency(const SimulatedHost& from, const SimulatedHost& to) const;
  bool link_up(const SimulatedHost& from, const SimulatedHost& to) const;
  void send_datagram(const SimulatedHost& from, const Address& to, std::string_view datagram);
  // Opens a connection to a running process; the caller has checked that it can be reached.
  std::shared_ptr<SimulatedConnection> connect(SimulatedHost& client, SimulatedHost& server);

  VirtualClock& clock() { return clock_; }
  const NetworkKnobs& knobs() const { return knobs_; }

 private:
  void deliver_datagram(const std::string& from, const std::string& to, Duration delay,
                        std::string_view datagram);

  VirtualClock& clock_;
  RandomGenerator& random_;
  const NetworkKnobs knobs_;
  std::map<std::string, std::unique_ptr<SimulatedHost>> hosts_;
  std::map<Address, SimulatedHost*> by_address_;
  std::map<std::pair<std::string, std::string>, uint32_t> cuts_;
  DatagramFaults datagram_faults_;
};

enum class ConnectionSide { kClient, kServer };

// One connection. After the first lost message nothing more is delivered.
class SimulatedConnection : public std::enable_shared_from_this<SimulatedConnection> {
 public:
  SimulatedConnection(SimulatedNetwork& network, SimulatedHost& client, SimulatedHost& server);

  // Runs `deliver` on the other side's event loop, in order.
  void send(ConnectionSide from, std::function<void()> deliver);
  // Calls `callback` at most once, when `side` is notified that the connection ended.
  void set_on_closed(ConnectionSide side, std::function<void(CloseReason)> callback);
  // Closes the connection: nothing more is delivered to `by`, and the other side is notified after
  // the data sent before.
  void close(ConnectionSide by);
  // The process on `host` ended.
  void on_process_ended(const SimulatedHost& host, CloseReason reason, bool silently);

 private:
  struct End {
    SimulatedHost* host = nullptr;
    uint64_t generation = 0;
    bool open = true;
    std::function<void(CloseReason)> on_closed;

    bool alive() const { return host->dispatcher && host->generation == generation; }
  };
  End& end(ConnectionSide side) { return side == ConnectionSide::kClient ? client_ : server_; }
  static ConnectionSide other(ConnectionSide side) {
    return side == ConnectionSide::kClient ? ConnectionSide::kServer : ConnectionSide::kClient;
  }
  void schedule_closed(ConnectionSide side, Duration delay, CloseReason reason);
  void notify_closed(ConnectionSide side, CloseReason reason);

  SimulatedNetwork& network_;
  End client_;
  End server_;
  bool lost_ = false;
};

// Datagram transport of one process.
class SimulatedDatagramTransport : public DatagramTransport {
 public:
  SimulatedDatagramTransport(SimulatedNetwork& network, SimulatedHost& host)
      : network_(network), host_(host) {}
  void send(const Address& to, std::string_view datagram) override {
    network_.send_datagram(host_, to, datagram);
  }
  void set_receiver(Receiver receiver) override { host_.receiver = std::move(receiver); }

 private:
  SimulatedNetwork& network_;
  SimulatedHost& host_;
};

}  // namespace chalkshed
