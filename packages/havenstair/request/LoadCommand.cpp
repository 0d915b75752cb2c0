#include "havenstair/request/LoadCommand.h"

#include "havenstair/common/ExitCode.h"
#include "havenstair/common/TextTable.h"
#include <algorithm>
#include <iostream>

namespace havenstair {

namespace {

constexpr Duration TailLimit = 60s;
constexpr Duration ProgressEvery = 1s;
constexpr std::string_view StreamEnd = "data: [DONE]";

Json latencies(const std::vector<double> &Values) {
  return {{"p50", percentile(Values, 0.5)},
          {"p95", percentile(Values, 0.95)},
          {"p99", percentile(Values, 0.99)},
          {"count", Values.size()}};
}

} // namespace

double percentile(std::vector<double> Values, double Part) {
  if (Values.empty())
    return 0;
  const auto Index =
      static_cast<std::size_t>(Part * static_cast<double>(Values.size() - 1));
  std::nth_element(Values.begin(),
                   Values.begin() + static_cast<std::ptrdiff_t>(Index),
                   Values.end());
  return Values[Index];
}

struct LoadCommand::Running {
  std::uint64_t m_Id = 0;
  TimePoint m_Began;
  TimePoint m_Last;
  bool m_HasFirst = false;
  Duration m_First = 0us;
  std::vector<double> m_Gaps;
  int m_Status = 0;
  std::string m_Body;
  HttpCallHandle m_Handle;
};

LoadCommand::LoadCommand(LoadOptions Opts)
    : m_Opts(std::move(Opts)), m_Http(m_Loop), m_Random(m_Opts.m_Seed) {}

LoadCommand::~LoadCommand() = default;

double LoadCommand::rateNow() const {
  const Duration Since = EventLoop::now() - m_Began;
  const bool InBurst = m_Opts.m_BurstEvery > 0us &&
                       Since % m_Opts.m_BurstEvery < m_Opts.m_BurstLength;
  return m_Opts.m_Rate * (InBurst ? m_Opts.m_BurstFactor : 1);
}

void LoadCommand::scheduleNext() {
  if (EventLoop::now() - m_Began >= m_Opts.m_Time)
    return;
  std::exponential_distribution<double> Gap(rateNow());
  const Duration Wait = fromSeconds(Gap(m_Random));
  m_Next = m_Loop.after(Wait, [this] {
    sendOne();
    scheduleNext();
  });
}

void LoadCommand::sendOne() {
  const auto Pick = [&](const auto &From) {
    return From[m_Sent % From.size()];
  };
  std::uniform_int_distribution<std::size_t> Model(0,
                                                   m_Opts.m_Models.size() - 1);
  auto Item = std::make_shared<Running>();
  Item->m_Id = ++m_Sent;
  Item->m_Began = EventLoop::now();
  const Json Body{{"model", m_Opts.m_Models[Model(m_Random)]},
                  {"prompt", "load " + std::to_string(m_Sent)},
                  {"max_tokens", m_Opts.m_MaxTokens},
                  {"stream", m_Opts.m_Stream}};
  HttpCall Call;
  Call.m_To = Pick(m_Opts.m_Callers);
  Call.m_Method = HttpMethod::Post;
  Call.m_Target = "/v1/completions";
  Call.m_Headers = {{"Authorization", "Bearer " + Pick(m_Opts.m_Keys)},
                    {"Content-Type", "application/json"}};
  Call.m_Body = dumpJson(Body);
  Call.m_IdleTimeout = TailLimit;
  Call.m_OnHead = [Item](int Status, const HttpHeaders &) {
    Item->m_Status = Status;
  };
  Call.m_OnBytes = [Item](std::string_view Bytes) {
    const TimePoint Now = EventLoop::now();
    if (Item->m_HasFirst)
      Item->m_Gaps.push_back(inMillis(Now - Item->m_Last));
    else
      Item->m_First = Now - Item->m_Began;
    Item->m_HasFirst = true;
    Item->m_Last = Now;
    Item->m_Body.append(Bytes);
  };
  Call.m_OnEnd = [this, Weak = std::weak_ptr<Running>(Item)](HttpEnd End) {
    if (const auto Held = Weak.lock())
      finished(Held, End);
  };
  Item->m_Handle = m_Http.start(std::move(Call));
  m_Running[Item->m_Id] = Item;
}

void LoadCommand::finished(const std::shared_ptr<Running> &Item, HttpEnd End) {
  m_Loop.defer([this, Item] {
    Item->m_Handle = HttpCallHandle();
    m_Running.erase(Item->m_Id);
  });
  std::string Outcome = "ok";
  const bool Whole = End == HttpEnd::Complete &&
                     (!m_Opts.m_Stream || Item->m_Status != 200 ||
                      Item->m_Body.find(StreamEnd) != std::string::npos);
  if (!Whole)
    Outcome = End == HttpEnd::NotWritten ? "not_connected" : "cut";
  else if (Item->m_Status != 200)
    try {
      const Json Error = field<Json>(parseJson(Item->m_Body), "error");
      Outcome = field<std::string>(Error, "code");
    } catch (const DecodeError &) {
      Outcome = "status_" + std::to_string(Item->m_Status);
    }
  ++m_Outcomes[Outcome];
  if (Outcome != "ok")
    return;
  m_FirstMs.push_back(inMillis(Item->m_First));
  m_WholeMs.push_back(inMillis(EventLoop::now() - Item->m_Began));
  const double SlowGap = percentile(Item->m_Gaps, 0.95);
  m_GapMs.insert(m_GapMs.end(), Item->m_Gaps.begin(), Item->m_Gaps.end());
  if (Item->m_First <= m_Opts.m_FirstTokenTarget &&
      SlowGap <= inMillis(m_Opts.m_BetweenTokensTarget))
    ++m_Met;
}

void LoadCommand::showProgress() const {
  std::cerr << "sent " << m_Sent << ", running " << m_Running.size();
  for (const auto &[Outcome, Count] : m_Outcomes)
    std::cerr << ", " << Outcome << " " << Count;
  std::cerr << "\n";
}

Json LoadCommand::summary() const {
  const double Attainment =
      m_Sent == 0 ? 0
                  : static_cast<double>(m_Met) / static_cast<double>(m_Sent);
  return {{"sent", m_Sent},
          {"met_targets", m_Met},
          {"attainment", Attainment},
          {"outcomes", m_Outcomes},
          {"first_token_ms", latencies(m_FirstMs)},
          {"between_tokens_ms", latencies(m_GapMs)},
          {"whole_ms", latencies(m_WholeMs)}};
}

void LoadCommand::run() {
  m_Began = EventLoop::now();
  Timer Progress;
  if (m_Opts.m_Progress)
    Progress = m_Loop.every(ProgressEvery, [this] { showProgress(); });
  scheduleNext();
  m_Loop.runUntil(
      [this] {
        return EventLoop::now() - m_Began >= m_Opts.m_Time && m_Running.empty();
      },
      m_Opts.m_Time + TailLimit);
  if (!m_Running.empty())
    m_Outcomes["unfinished"] = m_Running.size();
  const Json Result = summary();
  if (m_Opts.m_Json) {
    std::cout << Result.dump(2) << "\n";
  } else {
    TextTable Out({"MEASURE", "P50", "P95", "P99", "COUNT"});
    for (const char *Name : {"first_token_ms", "between_tokens_ms", "whole_ms"})
      Out.add({Name, cellOf(Result.at(Name).at("p50")),
               cellOf(Result.at(Name).at("p95")),
               cellOf(Result.at(Name).at("p99")),
               cellOf(Result.at(Name).at("count"))});
    std::cout << Out.str();
    for (const auto &[Outcome, Count] : m_Outcomes)
      std::cout << Outcome << ": " << Count << "\n";
    std::cout << "met targets: " << m_Met << " of " << m_Sent << "\n";
  }
  if (Result.at("attainment").get<double>() < m_Opts.m_LeastAttainment)
    throw CommandError(ExitCode::MissedTarget,
                       "fewer requests met their targets than asked");
}

} // namespace havenstair
