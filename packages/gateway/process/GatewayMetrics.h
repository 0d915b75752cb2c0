/// \file
/// Metrics of a gateway, in the Prometheus text format.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_GATEWAYMETRICS_H
#define HAVENSTAIR_GATEWAY_PROCESS_GATEWAYMETRICS_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include "decisions/process/SendBounds.h"
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace havenstair {

struct RequestResult;

/// State that is sampled when the metrics page is requested.
struct GatewayGauges {
  double m_OpenRequests = 0;
  double m_ConfigVersion = 0;
  double m_ConfigAnnounced = 0; ///< Newest version that a peer announced.
  /// Seconds since the configuration was confirmed to be the store's.
  double m_ConfigAge = 0;
  double m_ConfigBehind = 0; ///< Seconds since a newer one was announced.
  double m_ListRevision = 0;
  double m_Listed = 0;    ///< Entries of the list that this box knows.
  double m_Upstreams = 0; ///< Listed upstreams that requests may be sent to.
  double m_Peers = 0;
  double m_Evacuated = 0;     ///< Evacuated data centres.
  double m_StoreEra = 0;      ///< Newest era of the store that is known.
  double m_StoreRestores = 0; ///< Restores of the store seen since the start.
  double m_StoreReached = 0;  ///< 1 while the store answers this box.
  double m_IsOrderLeader = 0; ///< 1 on the box that gives orders.
  double m_FencingToken = 0;
  double m_DroppedLogLines = 0;
  double m_QuarantinedRequests = 0;     ///< Request contents not sent anywhere.
  double m_LimitedUpstreams = 0;        ///< Upstreams that set a rate limit.
  double m_RefusalLimitedUpstreams = 0; ///< Those that set a refusal limit.
  /// Upstreams that asked this box to retry later.
  double m_BackedOffUpstreams = 0;
  double m_Partitioned = 0;   ///< 1 while this box reaches no upstream.
  double m_FramesSkipped = 0; ///< Frames of kinds that only later builds know.
  double m_StreamsKnown = 0;  ///< Streams whose origin is remembered.
  double m_MemoryLimit = 0;   ///< Bytes of the budget; 0 without a limit.
  double m_LargeBodies = 0;   ///< Bytes held for large bodies of requests.
  double m_SmallBodies = 0;   ///< Bytes held for other bodies of requests.
  double m_Answers = 0;       ///< Bytes held for answers.
  double m_LateShare = 0;     ///< Part of the time by which the loop is late.
  double m_ProcessorTime = 0; ///< Seconds since the start.
  double m_Accepted = 0;      ///< Connections of callers since the start.
  double m_Waiting = 0;       ///< Those that wait to be accepted.
  double m_ClosedUnread = 0;  ///< Connections since the start.
  double m_Pauses = 0;        ///< Times in which connections were closed.
  double m_Paused = 0;        ///< Seconds of these.
  double m_RequestCost = 0;   ///< Processor seconds that a request takes.
  double m_NoRoom = 0;        ///< Times that the budget had no room for more.
  std::map<int, int> m_Protocols;       ///< Linked boxes by protocol version.
  std::map<DataCentreName, int> m_Cold; ///< Cold upstreams by data centre.
  /// Seconds from the start to each step that was reached.
  std::map<std::string_view, double> m_Startup;
  /// By address, 1 while the box listens on it.
  std::map<std::string_view, double> m_Listening;
  std::map<std::string_view, double> m_PeerFrames; ///< Frames sent, by kind.
  std::map<std::string_view, double> m_PeerBytes;  ///< Bytes sent, by kind.
};

/// Registry of all metrics. The number of label values is bounded: they are
/// routes of the configuration, organisations, data centres, and words of
/// closed lists. Names past a bound are counted as "other".
class GatewayMetrics {
public:
  GatewayMetrics();
  ~GatewayMetrics();

  /// Records how a caller's request ended.
  void recordRequest(const RequestResult &Result);
  /// Records how a caller's request ended while a data centre was evacuated,
  /// which may explain a refusal.
  void recordRequestInEvacuation(std::string_view Outcome);
  /// Records that a send to an upstream ended with \p Outcome.
  void recordSend(std::string_view Outcome);
  /// Records that an upstream rejected a request for lack of room.
  void recordNoRoom();
  /// Records that a request that was passed on (\p Way "out") or came from
  /// another box ("in") ended with \p Outcome.
  void recordPassed(std::string_view Way, std::string_view Outcome);
  /// Records that a connection of \p Listener was closed for a timeout.
  void recordTimedOut(std::string_view Listener, std::string_view Stage);
  /// Records that a caller took a stream up, and how its origin is known.
  void recordResumed(std::string_view Source);
  /// Records the answer to an order to an engine.
  void recordOrder(std::string_view Operation, std::string_view Answer);
  /// Records the answer to a query for a permit for an upstream in \p At, which
  /// needs permits for the reason \p Kind.
  void recordPermit(const DataCentreName &At, BoundKind Kind,
                    std::string_view Answer);
  /// Records the result \p What of a probe that tests whether an upstream has
  /// ended.
  void recordProbe(std::string_view What);
  /// Records a call to the store. \p Subject is its prefix, or empty.
  void recordStoreCall(std::string_view Call, std::string_view Subject);
  /// Records that a configuration that came from \p Source was adopted.
  void recordConfigAdoption(std::string_view Source);
  /// Records that a read of the configuration ended with \p Outcome.
  void recordConfigRead(std::string_view Outcome);
  /// Sets all gauges.
  void set(const GatewayGauges &Gauges);

  /// \returns the text of the metrics page.
  std::string serialize() const;

private:
  struct Families;
  std::unique_ptr<Families> m_Families;
};

} // namespace havenstair

#endif
