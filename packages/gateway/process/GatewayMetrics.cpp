#include "gateway/process/GatewayMetrics.h"

#include "gateway/request/Forwarder.h"
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <set>

namespace havenstair {

namespace {

/// Limit for routes, organisations and data centres with a label value of their
/// own.
constexpr std::size_t MaxLabelValues = 64;

const prometheus::Histogram::BucketBoundaries LatencyBuckets{
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 5, 10, 20};

} // namespace

struct GatewayMetrics::Families {
  prometheus::Registry m_Registry;
  prometheus::Family<prometheus::Counter> &m_Requests =
      prometheus::BuildCounter()
          .Name("havenstair_requests_total")
          .Help("Callers' requests by route and outcome")
          .Register(m_Registry);
  prometheus::Family<prometheus::Histogram> &m_FirstByte =
      prometheus::BuildHistogram()
          .Name("havenstair_first_byte_seconds")
          .Help("Time to the first byte or event, by route")
          .Register(m_Registry);
  prometheus::Family<prometheus::Histogram> &m_Whole =
      prometheus::BuildHistogram()
          .Name("havenstair_request_seconds")
          .Help("Time to the end of the answer, by route")
          .Register(m_Registry);
  prometheus::Family<prometheus::Counter> &m_Sends =
      prometheus::BuildCounter()
          .Name("havenstair_sends_total")
          .Help("Sends to upstreams by outcome")
          .Register(m_Registry);
  prometheus::Family<prometheus::Counter> &m_Passed =
      prometheus::BuildCounter()
          .Name("havenstair_passed_requests_total")
          .Help("Requests that were passed on to other boxes (out) or came "
                "from them (in), by outcome")
          .Register(m_Registry);
  prometheus::Family<prometheus::Counter> &m_TimedOut =
      prometheus::BuildCounter()
          .Name("havenstair_connections_timed_out_total")
          .Help("Connections that were closed because the other side made no "
                "progress, by listener and stage")
          .Register(m_Registry);
  prometheus::Family<prometheus::Counter> &m_Resumed =
      prometheus::BuildCounter()
          .Name("havenstair_streams_resumed_total")
          .Help(
              "Streams that callers took up, by how the software version that "
              "began them is known")
          .Register(m_Registry);
  prometheus::Family<prometheus::Counter> &m_Orders =
      prometheus::BuildCounter()
          .Name("havenstair_orders_total")
          .Help("Orders to engines by operation and answer")
          .Register(m_Registry);
  prometheus::Family<prometheus::Counter> &m_StoreCalls =
      prometheus::BuildCounter()
          .Name("havenstair_store_calls_total")
          .Help("Calls to the platform's store by call and prefix")
          .Register(m_Registry);
  prometheus::Family<prometheus::Counter> &m_ConfigsTaken =
      prometheus::BuildCounter()
          .Name("havenstair_configs_taken_total")
          .Help("Configurations taken, by the way on which they came")
          .Register(m_Registry);
  prometheus::Family<prometheus::Counter> &m_ConfigReads =
      prometheus::BuildCounter()
          .Name("havenstair_config_reads_total")
          .Help("Reads of the configuration from the store, by outcome")
          .Register(m_Registry);
  prometheus::Family<prometheus::Gauge> &m_State =
      prometheus::BuildGauge()
          .Name("havenstair_state")
          .Help("State of this box by name")
          .Register(m_Registry);
  prometheus::Family<prometheus::Counter> &m_OfOrganisations =
      prometheus::BuildCounter()
          .Name("havenstair_organisation_requests_total")
          .Help("Callers' requests by organisation and outcome")
          .Register(m_Registry);
  prometheus::Family<prometheus::Counter> &m_Permits =
      prometheus::BuildCounter()
          .Name("havenstair_permits_total")
          .Help("Permits asked for servers that are cold or name a limit, by "
                "data centre and answer")
          .Register(m_Registry);
  prometheus::Family<prometheus::Counter> &m_ServersAsked =
      prometheus::BuildCounter()
          .Name("havenstair_broken_servers_total")
          .Help("Servers that were asked after a connection broke, by whether "
                "they had ended")
          .Register(m_Registry);
  prometheus::Family<prometheus::Gauge> &m_Cold =
      prometheus::BuildGauge()
          .Name("havenstair_cold_servers")
          .Help("Cold servers by data centre")
          .Register(m_Registry);
  prometheus::Family<prometheus::Gauge> &m_Protocols =
      prometheus::BuildGauge()
          .Name("havenstair_linked_boxes")
          .Help("Linked boxes by the protocol that they understand")
          .Register(m_Registry);
  prometheus::Family<prometheus::Gauge> &m_Startup =
      prometheus::BuildGauge()
          .Name("havenstair_startup_seconds")
          .Help("Time from the start to each step on the way to serving")
          .Register(m_Registry);
  prometheus::Family<prometheus::Gauge> &m_Listening =
      prometheus::BuildGauge()
          .Name("havenstair_listening")
          .Help("1 while the box listens on an address, which something else "
                "may have")
          .Register(m_Registry);
  prometheus::Family<prometheus::Gauge> &m_PeerFrames =
      prometheus::BuildGauge()
          .Name("havenstair_peer_frames_sent")
          .Help("Frames sent to other boxes since the start, by kind")
          .Register(m_Registry);
  prometheus::Family<prometheus::Gauge> &m_PeerBytes =
      prometheus::BuildGauge()
          .Name("havenstair_peer_bytes_sent")
          .Help("Their bytes, by kind")
          .Register(m_Registry);
  prometheus::Counter &m_NoRoom =
      prometheus::BuildCounter()
          .Name("havenstair_no_room_total")
          .Help("Requests that upstreams turned away for lack of room")
          .Register(m_Registry)
          .Add({});
  std::set<int> m_KnownProtocols;
  std::set<std::string> m_DataCentres;
  prometheus::Family<prometheus::Counter> &m_InEvacuation =
      prometheus::BuildCounter()
          .Name("havenstair_requests_in_evacuation_total")
          .Help("Callers' requests that ended while a data centre was "
                "evacuated, by outcome")
          .Register(m_Registry);
  std::set<std::string> m_Routes;
  std::set<std::string> m_Organisations;

  /// \returns \p Name, or "other" if \p Known has reached its limit.
  static std::string label(std::set<std::string> &Known,
                           const std::string &Name) {
    if (Known.size() < MaxLabelValues)
      Known.insert(Name);
    return Known.contains(Name) ? Name : "other";
  }

  void state(const char *Name, double Value) {
    m_State.Add({{"name", Name}}).Set(Value);
  }
};

GatewayMetrics::GatewayMetrics() : m_Families(std::make_unique<Families>()) {}
GatewayMetrics::~GatewayMetrics() = default;

void GatewayMetrics::recordRequest(const RequestResult &Result) {
  const std::string Route =
      Families::label(m_Families->m_Routes, Result.m_Route);
  if (!Result.m_Organisation.empty())
    m_Families->m_OfOrganisations
        .Add({{"organisation", Families::label(m_Families->m_Organisations,
                                               Result.m_Organisation)},
              {"outcome", std::string(Result.m_Outcome)}})
        .Increment();
  m_Families->m_Requests
      .Add({{"route", Route}, {"outcome", std::string(Result.m_Outcome)}})
      .Increment();
  if (Result.m_FirstByte > 0us)
    m_Families->m_FirstByte.Add({{"route", Route}}, LatencyBuckets)
        .Observe(inSeconds(Result.m_FirstByte));
  m_Families->m_Whole.Add({{"route", Route}}, LatencyBuckets)
      .Observe(inSeconds(Result.m_Whole));
}

void GatewayMetrics::recordRequestInEvacuation(std::string_view Outcome) {
  m_Families->m_InEvacuation.Add({{"outcome", std::string(Outcome)}})
      .Increment();
}

void GatewayMetrics::recordSend(std::string_view Outcome) {
  m_Families->m_Sends.Add({{"outcome", std::string(Outcome)}}).Increment();
}

void GatewayMetrics::recordNoRoom() { m_Families->m_NoRoom.Increment(); }

void GatewayMetrics::recordPassed(std::string_view Way,
                                  std::string_view Outcome) {
  m_Families->m_Passed
      .Add({{"way", std::string(Way)}, {"outcome", std::string(Outcome)}})
      .Increment();
}

void GatewayMetrics::recordTimedOut(std::string_view Listener,
                                    std::string_view Stage) {
  m_Families->m_TimedOut
      .Add({{"listener", std::string(Listener)}, {"stage", std::string(Stage)}})
      .Increment();
}

void GatewayMetrics::recordResumed(std::string_view Source) {
  m_Families->m_Resumed.Add({{"known_by", std::string(Source)}}).Increment();
}

void GatewayMetrics::recordOrder(std::string_view Operation,
                                 std::string_view Answer) {
  m_Families->m_Orders
      .Add({{"operation", std::string(Operation)},
            {"answer", std::string(Answer)}})
      .Increment();
}

void GatewayMetrics::recordPermit(const DataCentreName &At, BoundKind Kind,
                                  std::string_view Answer) {
  m_Families->m_Permits
      .Add({{"data_centre",
             Families::label(m_Families->m_DataCentres, At.str())},
            {"bound", toString(Kind)},
            {"answer", std::string(Answer)}})
      .Increment();
}

void GatewayMetrics::recordProbe(std::string_view What) {
  m_Families->m_ServersAsked.Add({{"what", std::string(What)}}).Increment();
}

void GatewayMetrics::recordStoreCall(std::string_view Call,
                                     std::string_view Subject) {
  m_Families->m_StoreCalls
      .Add({{"call", std::string(Call)}, {"prefix", std::string(Subject)}})
      .Increment();
}

void GatewayMetrics::recordConfigAdoption(std::string_view Source) {
  m_Families->m_ConfigsTaken.Add({{"source", std::string(Source)}}).Increment();
}

void GatewayMetrics::recordConfigRead(std::string_view Outcome) {
  m_Families->m_ConfigReads.Add({{"outcome", std::string(Outcome)}})
      .Increment();
}

void GatewayMetrics::set(const GatewayGauges &Gauges) {
  m_Families->state("open_requests", Gauges.m_OpenRequests);
  m_Families->state("config_version", Gauges.m_ConfigVersion);
  m_Families->state("config_told", Gauges.m_ConfigAnnounced);
  m_Families->state("config_age_seconds", Gauges.m_ConfigAge);
  m_Families->state("config_behind_seconds", Gauges.m_ConfigBehind);
  m_Families->state("list_revision", Gauges.m_ListRevision);
  m_Families->state("upstreams_listed", Gauges.m_Listed);
  m_Families->state("upstreams", Gauges.m_Upstreams);
  m_Families->state("peers", Gauges.m_Peers);
  m_Families->state("evacuated_data_centres", Gauges.m_Evacuated);
  m_Families->state("store_era", Gauges.m_StoreEra);
  m_Families->state("store_restores", Gauges.m_StoreRestores);
  m_Families->state("store_reached", Gauges.m_StoreReached);
  m_Families->state("gives_orders", Gauges.m_IsOrderLeader);
  m_Families->state("fencing_token", Gauges.m_FencingToken);
  m_Families->state("log_lines_left_out", Gauges.m_DroppedLogLines);
  m_Families->state("barred_requests", Gauges.m_QuarantinedRequests);
  m_Families->state("limited_servers", Gauges.m_LimitedUpstreams);
  m_Families->state("refusal_limited_servers",
                    Gauges.m_RefusalLimitedUpstreams);
  m_Families->state("backed_off_servers", Gauges.m_BackedOffUpstreams);
  m_Families->state("partitioned", Gauges.m_Partitioned);
  m_Families->state("streams_known", Gauges.m_StreamsKnown);
  m_Families->state("frames_skipped", Gauges.m_FramesSkipped);
  m_Families->state("memory_limit_bytes", Gauges.m_MemoryLimit);
  m_Families->state("large_bodies_bytes", Gauges.m_LargeBodies);
  m_Families->state("small_bodies_bytes", Gauges.m_SmallBodies);
  m_Families->state("answers_bytes", Gauges.m_Answers);
  m_Families->state("no_room", Gauges.m_NoRoom);
  m_Families->state("late_share", Gauges.m_LateShare);
  m_Families->state("processor_seconds", Gauges.m_ProcessorTime);
  m_Families->state("connections_accepted", Gauges.m_Accepted);
  m_Families->state("connections_waiting", Gauges.m_Waiting);
  m_Families->state("connections_closed_unread", Gauges.m_ClosedUnread);
  m_Families->state("connection_pauses", Gauges.m_Pauses);
  m_Families->state("connection_paused_seconds", Gauges.m_Paused);
  m_Families->state("request_processor_seconds", Gauges.m_RequestCost);
  for (const auto &[Step, After] : Gauges.m_Startup)
    m_Families->m_Startup.Add({{"step", std::string(Step)}}).Set(After);
  for (const auto &[Name, Listening] : Gauges.m_Listening)
    m_Families->m_Listening.Add({{"listener", std::string(Name)}})
        .Set(Listening);
  for (const auto &[Kind, Frames] : Gauges.m_PeerFrames)
    m_Families->m_PeerFrames.Add({{"kind", std::string(Kind)}}).Set(Frames);
  for (const auto &[Kind, Bytes] : Gauges.m_PeerBytes)
    m_Families->m_PeerBytes.Add({{"kind", std::string(Kind)}}).Set(Bytes);
  for (const auto &[Protocol, Boxes] : Gauges.m_Protocols)
    m_Families->m_KnownProtocols.insert(Protocol);
  for (int Protocol : m_Families->m_KnownProtocols) {
    const auto Found = Gauges.m_Protocols.find(Protocol);
    m_Families->m_Protocols.Add({{"protocol", std::to_string(Protocol)}})
        .Set(Found == Gauges.m_Protocols.end() ? 0 : Found->second);
  }
  for (const auto &[DataCentre, Count] : Gauges.m_Cold)
    Families::label(m_Families->m_DataCentres, DataCentre.str());
  for (const std::string &DataCentre : m_Families->m_DataCentres) {
    const auto Found = Gauges.m_Cold.find(DataCentreName(DataCentre));
    m_Families->m_Cold.Add({{"data_centre", DataCentre}})
        .Set(Found == Gauges.m_Cold.end() ? 0 : Found->second);
  }
}

std::string GatewayMetrics::serialize() const {
  return prometheus::TextSerializer().Serialize(
      m_Families->m_Registry.Collect());
}

} // namespace havenstair
