#include "havenstaird/process/Metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace havenstair {

namespace {

const prometheus::Histogram::BucketBoundaries Seconds{
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.077, 0.1, 0.25,
    0.5,   0.68,   1,     2.5,  5,     10,   30,    60};

} // namespace

struct Metrics::Families {
  prometheus::Registry m_Registry;
  prometheus::Family<prometheus::Counter> &m_Answers =
      prometheus::BuildCounter()
          .Name("havenstair_answers_total")
          .Help("Answers by group and code")
          .Register(m_Registry);
  prometheus::Family<prometheus::Histogram> &m_Queued = histogram(
      "havenstair_queue_seconds", "Time in the owner's queue, by group");
  prometheus::Family<prometheus::Histogram> &m_FirstToken = histogram(
      "havenstair_first_token_seconds", "Time to the first byte, by group");
  prometheus::Family<prometheus::Histogram> &m_BetweenTokens = histogram(
      "havenstair_between_tokens_seconds", "Gaps within streams, by group");
  prometheus::Family<prometheus::Histogram> &m_Whole = histogram(
      "havenstair_request_seconds", "Time to the end of the answer, by group");
  prometheus::Family<prometheus::Counter> &m_Retries =
      prometheus::BuildCounter()
          .Name("havenstair_retries_total")
          .Help("Attempts beyond the first")
          .Register(m_Registry);
  prometheus::Family<prometheus::Counter> &m_Moves =
      prometheus::BuildCounter()
          .Name("havenstair_moves_total")
          .Help("Loads and unloads ordered, by reason")
          .Register(m_Registry);
  prometheus::Family<prometheus::Counter> &m_PeerBytes =
      prometheus::BuildCounter()
          .Name("havenstair_peer_bytes_total")
          .Help("Bytes sent to other boxes, by kind of message")
          .Register(m_Registry);
  prometheus::Family<prometheus::Counter> &m_PlatformCalls =
      prometheus::BuildCounter()
          .Name("havenstair_platform_calls_total")
          .Help("Calls to the platform's service, by call")
          .Register(m_Registry);
  prometheus::Family<prometheus::Gauge> &m_Lease =
      gauge("havenstair_lease_held", "1 while the box holds its lease");
  prometheus::Family<prometheus::Gauge> &m_Versions =
      gauge("havenstair_version", "Versions in force, by document");
  prometheus::Family<prometheus::Gauge> &m_Memory = gauge(
      "havenstair_memory_mib", "Accelerator memory of owned engines, by state");

  prometheus::Family<prometheus::Histogram> &histogram(const char *Name,
                                                       const char *Help) {
    return prometheus::BuildHistogram().Name(Name).Help(Help).Register(
        m_Registry);
  }
  prometheus::Family<prometheus::Gauge> &gauge(const char *Name,
                                               const char *Help) {
    return prometheus::BuildGauge().Name(Name).Help(Help).Register(m_Registry);
  }
};

Metrics::Metrics() : m_Families(std::make_unique<Families>()) {}
Metrics::~Metrics() = default;

void Metrics::answered(const GroupName &Group, std::string_view Code,
                       const RequestTimes &Times) {
  m_Families->m_Answers
      .Add({{"group", Group.str()}, {"code", std::string(Code)}})
      .Increment();
  if (Group.empty())
    return;
  const prometheus::Labels Labels{{"group", Group.str()}};
  m_Families->m_Queued.Add(Labels, Seconds).Observe(inSeconds(Times.m_Queued));
  if (Times.m_HasFirstByte)
    m_Families->m_FirstToken.Add(Labels, Seconds)
        .Observe(inSeconds(Times.m_FirstByte));
  m_Families->m_Whole.Add(Labels, Seconds).Observe(inSeconds(Times.m_Whole));
}

void Metrics::betweenTokens(const GroupName &Group, Duration Gap) {
  m_Families->m_BetweenTokens.Add({{"group", Group.str()}}, Seconds)
      .Observe(inSeconds(Gap));
}

void Metrics::retried() { m_Families->m_Retries.Add({}).Increment(); }

void Metrics::moved(MoveReason Reason) {
  m_Families->m_Moves.Add({{"reason", std::string(moveReasonName(Reason))}})
      .Increment();
}

void Metrics::peerBytes(std::string_view Frame, std::size_t Bytes) {
  m_Families->m_PeerBytes.Add({{"message", std::string(Frame)}})
      .Increment(static_cast<double>(Bytes));
}

void Metrics::platformCall(std::string_view Call) {
  m_Families->m_PlatformCalls.Add({{"call", std::string(Call)}}).Increment();
}

void Metrics::setLeaseHeld(bool Held) {
  m_Families->m_Lease.Add({}).Set(Held ? 1 : 0);
}

void Metrics::setVersions(double Assignment, double Table) {
  m_Families->m_Versions.Add({{"document", "assignment"}}).Set(Assignment);
  m_Families->m_Versions.Add({{"document", "table"}}).Set(Table);
}

void Metrics::setMemoryTaken(const UpstreamName &Upstream, double Taken,
                             double Capacity) {
  const std::string &Name = Upstream.str();
  m_Families->m_Memory.Add({{"upstream", Name}, {"state", "taken"}}).Set(Taken);
  m_Families->m_Memory.Add({{"upstream", Name}, {"state", "capacity"}})
      .Set(Capacity);
}

std::string Metrics::serialize() const {
  return prometheus::TextSerializer().Serialize(
      m_Families->m_Registry.Collect());
}

} // namespace havenstair
