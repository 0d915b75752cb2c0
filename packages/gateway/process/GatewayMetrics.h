/// \file
/// What a gateway counts and measures, in the Prometheus text format.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_GATEWAYMETRICS_H
#define HAVENSTAIR_GATEWAY_PROCESS_GATEWAYMETRICS_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace havenstair {

struct RequestResult;

/// State that is read when the figures are asked for.
struct GatewayGauges {
  double m_OpenRequests = 0;
  double m_ConfigVersion = 0;
  double m_ConfigTold = 0;   ///< Newest version that another box told of.
  double m_ConfigAge = 0;    ///< Seconds since it was surely the store's.
  double m_ConfigBehind = 0; ///< Seconds since a newer one was told of.
  double m_ListRevision = 0;
  double m_Listed = 0;    ///< Entries of the list, as far as it is known here.
  double m_Upstreams = 0; ///< Those of them that requests may be sent to.
  double m_Peers = 0;
  double m_Evacuated = 0;    ///< Data centres.
  double m_StoreReached = 0; ///< 1 while the store answers this box.
  double m_GivesOrders = 0;  ///< 1 on the box that gives orders.
  double m_FencingToken = 0;
  double m_LogLinesLeftOut = 0;
  double m_BarredRequests = 0;    ///< Contents that are sent to no server.
  double m_LimitedServers = 0;    ///< That name a limit.
  double m_BackedOffServers = 0;  ///< That want nothing from this box.
  double m_FramesSkipped = 0;     ///< Of kinds that only later builds know.
  std::map<int, int> m_Protocols; ///< Linked boxes by what they understand.
  std::map<DataCentreName, int> m_Cold;            ///< Cold servers.
  std::map<std::string_view, double> m_PeerFrames; ///< Sent, by kind.
  std::map<std::string_view, double> m_PeerBytes;
};

/// Registry of all metrics. Labels are bounded: routes of the configuration,
/// and words of closed lists. Past a bound, routes are told as "other".
class GatewayMetrics {
public:
  GatewayMetrics();
  ~GatewayMetrics();

  void ended(const RequestResult &Result);
  /// The same while a data centre is evacuated: refusals that may be due to
  /// that.
  void endedInEvacuation(std::string_view Outcome);
  /// A send to an upstream ended with \p Outcome.
  void sendEnded(std::string_view Outcome);
  /// An order to an engine was answered.
  void ordered(std::string_view Operation, std::string_view Answer);
  /// A permit for a server in \p At was asked for, as it names a limit, or is
  /// cold.
  void permitAsked(const DataCentreName &At, bool Limited,
                   std::string_view Answer);
  /// A server was asked whether it had ended; \p What it turned out to be.
  void serverAsked(std::string_view What);
  /// A call to the store was made; \p Subject is its prefix, or empty.
  void storeCalled(std::string_view Call, std::string_view Subject);
  /// A configuration was taken that came on the way \p Source.
  void configTaken(std::string_view Source);
  /// A read of the configuration ended with \p Outcome.
  void configRead(std::string_view Outcome);
  void set(const GatewayGauges &Now);

  /// The text of the metrics page.
  std::string serialize() const;

private:
  struct Families;
  std::unique_ptr<Families> m_Families;
};

} // namespace havenstair

#endif
