// A node of a serving cluster with a partial store fault: reads of changes fail, or are read late,
// while its other store calls succeed.
#pragma once

#include "tests/serving/serving_cluster.h"

namespace chalkshed {

class ChangesBlockedStore : public WatchedStore {
 public:
  ChangesBlockedStore(WatchedStore& inner, Dispatcher& dispatcher)
      : inner_(inner), dispatcher_(dispatcher) {}
  void read_range(RangeRead range, Callback<RangePage> callback) override {
    call_after(dispatcher_, reads_take,
               [this, range, callback] { inner_.read_range(range, callback); });
  }
  void read_changes(std::string table, StoreVersion since, Duration wait,
                    Callback<TableChanges> callback) override {
    inner_.read_changes(
        std::move(table), since, wait, [this, callback](const Expected<TableChanges>& changes) {
          if (block_changes) {
            callback(tl::unexpected(
                not_run(ErrorKind::kStoreUnavailable, "the answer was lost", "ask again")));
            return;
          }
          call_after(dispatcher_, answers_wait, [callback, changes] { callback(changes); });
        });
  }
  void commit(StoreTransaction transaction, Callback<StoreCommit> callback) override {
    inner_.commit(std::move(transaction), std::move(callback));
  }
  bool block_changes = false;
  Duration reads_take{0};
  Duration answers_wait{0};  // until the node reads what the store has sent

 private:
  WatchedStore& inner_;
  Dispatcher& dispatcher_;
};

struct ChangesBlockedNode {
  ChangesBlockedNode(ServingCluster& cluster, const std::string& name,
                     const ServingNodeKnobs& knobs = {})
      : address{name, 7660},
        dispatcher(cluster.clock),
        inner(cluster.shared, cluster.clock, dispatcher),
        store(inner, dispatcher),
        datagrams(cluster.hub, address),
        calls(cluster.workers, name + "#99"),
        node({name, name + "#99", "zone-a", address, kCallerPort},
             {cluster.clock, dispatcher, random, store, inner, calls, datagrams, request_wire(),
              job_wire(), logger, metrics},
             platform_tables(), knobs) {
    node.start();
  }
  Address address;
  VirtualDispatcher dispatcher;
  SeededRandomGenerator random{99};
  NullLogger logger;
  NullMetricsRegistry metrics;
  MemoryWatchedStore inner;
  ChangesBlockedStore store;
  HubDatagrams datagrams;
  NodeCalls calls;
  ServingNode node;
};

}  // namespace chalkshed
