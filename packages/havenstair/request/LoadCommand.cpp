#include "havenstair/request/LoadCommand.h"

#include "havenstair/common/ExitCode.h"
#include "havenstair/common/TextTable.h"
#include <algorithm>
#include <iostream>

namespace havenstair {

namespace {

constexpr Duration AnswerTimeout = 60s;
constexpr Duration ProgressInterval = 1s;
constexpr std::string_view StreamEnd = "data: [DONE]";

Json latencyPercentiles(const std::vector<double> &Values) {
  return {{"p50", percentile(Values, 0.5)},
          {"p95", percentile(Values, 0.95)},
          {"p99", percentile(Values, 0.99)},
          {"count", Values.size()}};
}

} // namespace

double percentile(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;
  const auto Index = static_cast<std::size_t>(
      Fraction * static_cast<double>(Values.size() - 1));
  std::nth_element(Values.begin(),
                   Values.begin() + static_cast<std::ptrdiff_t>(Index),
                   Values.end());
  return Values[Index];
}

struct LoadCommand::InFlightRequest {
  std::uint64_t m_Id = 0;
  TimePoint m_StartTime;
  TimePoint m_LastByteTime;
  bool m_HasFirstByte = false;
  Duration m_FirstByteDelay = 0us;
  std::vector<double> m_GapsMs;
  int m_Status = 0;
  std::string m_Body;
  HttpCallHandle m_Handle;
};

LoadCommand::LoadCommand(LoadOptions Opts)
    : m_Opts(std::move(Opts)), m_Http(m_Loop), m_Random(m_Opts.m_Seed) {}

LoadCommand::~LoadCommand() = default;

double LoadCommand::currentRate() const {
  const Duration Since = EventLoop::now() - m_StartTime;
  const bool InBurst = m_Opts.m_BurstPeriod > 0us &&
                       Since % m_Opts.m_BurstPeriod < m_Opts.m_BurstLength;
  return m_Opts.m_Rate * (InBurst ? m_Opts.m_BurstFactor : 1);
}

void LoadCommand::scheduleNext() {
  if (EventLoop::now() - m_StartTime >= m_Opts.m_SendDuration)
    return;
  std::exponential_distribution<double> Gap(currentRate());
  const Duration Wait = fromSeconds(Gap(m_Random));
  m_NextSend = m_Loop.after(Wait, [this] {
    sendRequest();
    scheduleNext();
  });
}

void LoadCommand::sendRequest() {
  const auto Pick = [&](const auto &Choices) {
    return Choices[m_Sent % Choices.size()];
  };
  std::uniform_int_distribution<std::size_t> Model(0,
                                                   m_Opts.m_Models.size() - 1);
  auto Request = std::make_shared<InFlightRequest>();
  Request->m_Id = ++m_Sent;
  Request->m_StartTime = EventLoop::now();
  const Json Body{{"model", m_Opts.m_Models[Model(m_Random)]},
                  {"prompt", "load " + std::to_string(m_Sent)},
                  {"max_tokens", m_Opts.m_MaxTokens},
                  {"stream", m_Opts.m_Stream}};
  HttpCall Call;
  Call.m_To = Pick(m_Opts.m_CallerAddresses);
  Call.m_Method = HttpMethod::Post;
  Call.m_Target = "/v1/completions";
  Call.m_Headers = {{"Authorization", "Bearer " + Pick(m_Opts.m_Keys)},
                    {"Content-Type", "application/json"}};
  Call.m_Body = dumpJson(Body);
  Call.m_IdleTimeout = AnswerTimeout;
  Call.m_OnHead = [Request](int Status, const HttpHeaders &) {
    Request->m_Status = Status;
  };
  Call.m_OnBytes = [Request](std::string_view Bytes) {
    const TimePoint Now = EventLoop::now();
    if (Request->m_HasFirstByte)
      Request->m_GapsMs.push_back(inMillis(Now - Request->m_LastByteTime));
    else
      Request->m_FirstByteDelay = Now - Request->m_StartTime;
    Request->m_HasFirstByte = true;
    Request->m_LastByteTime = Now;
    Request->m_Body.append(Bytes);
  };
  Call.m_OnEnd = [this,
                  Weak = std::weak_ptr<InFlightRequest>(Request)](HttpEnd End) {
    if (const auto Locked = Weak.lock())
      onRequestEnd(Locked, End);
  };
  Request->m_Handle = m_Http.start(std::move(Call));
  m_InFlight[Request->m_Id] = Request;
}

void LoadCommand::onRequestEnd(const std::shared_ptr<InFlightRequest> &Request,
                               HttpEnd End) {
  m_Loop.defer([this, Request] {
    Request->m_Handle = HttpCallHandle();
    m_InFlight.erase(Request->m_Id);
  });
  std::string Outcome = "ok";
  const bool AnswerComplete =
      received(End) && (!m_Opts.m_Stream || Request->m_Status != 200 ||
                        Request->m_Body.find(StreamEnd) != std::string::npos);
  if (!AnswerComplete)
    Outcome = End == HttpEnd::NotWritten ? "not_connected" : "cut";
  else if (Request->m_Status != 200)
    try {
      const Json Error = field<Json>(parseJson(Request->m_Body), "error");
      Outcome = field<std::string>(Error, "code");
    } catch (const DecodeError &) {
      Outcome = "status_" + std::to_string(Request->m_Status);
    }
  ++m_Outcomes[Outcome];
  if (Outcome != "ok")
    return;
  m_FirstTokenMs.push_back(inMillis(Request->m_FirstByteDelay));
  m_TotalMs.push_back(inMillis(EventLoop::now() - Request->m_StartTime));
  const double SlowGap = percentile(Request->m_GapsMs, 0.95);
  m_TokenGapsMs.insert(m_TokenGapsMs.end(), Request->m_GapsMs.begin(),
                       Request->m_GapsMs.end());
  if (Request->m_FirstByteDelay <= m_Opts.m_FirstTokenTarget &&
      SlowGap <= inMillis(m_Opts.m_BetweenTokensTarget))
    ++m_TargetsMet;
}

void LoadCommand::showProgress() const {
  std::cerr << "sent " << m_Sent << ", running " << m_InFlight.size();
  for (const auto &[Outcome, Count] : m_Outcomes)
    std::cerr << ", " << Outcome << " " << Count;
  std::cerr << "\n";
}

Json LoadCommand::summary() const {
  const double Attainment = m_Sent == 0 ? 0
                                        : static_cast<double>(m_TargetsMet) /
                                              static_cast<double>(m_Sent);
  return {{"sent", m_Sent},
          {"met_targets", m_TargetsMet},
          {"attainment", Attainment},
          {"outcomes", m_Outcomes},
          {"first_token_ms", latencyPercentiles(m_FirstTokenMs)},
          {"between_tokens_ms", latencyPercentiles(m_TokenGapsMs)},
          {"whole_ms", latencyPercentiles(m_TotalMs)}};
}

void LoadCommand::run() {
  m_StartTime = EventLoop::now();
  Timer Progress;
  if (m_Opts.m_Progress)
    Progress = m_Loop.every(ProgressInterval, [this] { showProgress(); });
  scheduleNext();
  m_Loop.runUntil(
      [this] {
        return EventLoop::now() - m_StartTime >= m_Opts.m_SendDuration &&
               m_InFlight.empty();
      },
      m_Opts.m_SendDuration + AnswerTimeout);
  if (!m_InFlight.empty())
    m_Outcomes["unfinished"] = m_InFlight.size();
  const Json Result = summary();
  if (m_Opts.m_Json) {
    std::cout << Result.dump(2) << "\n";
  } else {
    TextTable Out({"MEASURE", "P50", "P95", "P99", "COUNT"});
    for (const char *Name : {"first_token_ms", "between_tokens_ms", "whole_ms"})
      Out.add({Name, formatCell(Result.at(Name).at("p50")),
               formatCell(Result.at(Name).at("p95")),
               formatCell(Result.at(Name).at("p99")),
               formatCell(Result.at(Name).at("count"))});
    std::cout << Out.str();
    for (const auto &[Outcome, Count] : m_Outcomes)
      std::cout << Outcome << ": " << Count << "\n";
    std::cout << "met targets: " << m_TargetsMet << " of " << m_Sent << "\n";
  }
  if (Result.at("attainment").get<double>() < m_Opts.m_MinAttainment)
    throw CommandError(
        ExitCode::MissedTarget,
        "fewer requests met their targets than --least requires");
}

} // namespace havenstair
