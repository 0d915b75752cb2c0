#include "standin/StandinEngine.h"

namespace havenstair {

namespace {

constexpr int DefaultTokens = 8;

std::string promptOf(const Json &Body) {
  if (Body.contains("prompt"))
    return Body.at("prompt").get<std::string>();
  return Body.at("messages").back().at("content").get<std::string>();
}

/// Token \p Index of the answer to \p Prompt; a test can tell whose it is.
std::string tokenText(const std::string &Prompt, int Index) {
  return Prompt + "#" + std::to_string(Index) + " ";
}

} // namespace

/// One answer on its way.
class StandinEngine::Answer : public std::enable_shared_from_this<Answer> {
public:
  Answer(StandinEngine &Engine, HttpExchangePtr Exchange, const Json &Body)
      : m_Engine(Engine), m_Exchange(std::move(Exchange)),
        m_Prompt(promptOf(Body)),
        m_Tokens(fieldOr<int>(Body, "max_tokens", DefaultTokens)),
        m_Stream(fieldOr<bool>(Body, "stream", false)),
        m_CutAfter(fieldOr<int>(m_Engine.m_Fault, "cut_after", -1)) {}

  void start() {
    m_Exchange->onCallerLeft([Self = shared_from_this()] {
      ++Self->m_Engine.m_Cancelled;
      Self->m_Timer = Timer();
    });
    if (m_Stream)
      m_Exchange->startStream(200, {{"Content-Type", "text/event-stream"}});
    next();
  }

private:
  void next() {
    if (!m_Exchange->open())
      return;
    if (m_Sent == m_CutAfter)
      return m_Exchange->abort();
    if (m_Sent == m_Tokens)
      return end();
    m_Text += tokenText(m_Prompt, m_Sent);
    if (m_Stream)
      m_Exchange->sendChunk(
          "data: " +
          dumpJson(
              {{"choices",
                {{{"delta", {{"content", tokenText(m_Prompt, m_Sent)}}}}}}}) +
          "\n\n");
    ++m_Sent;
    m_Timer =
        m_Engine.m_Loop.after(m_Engine.m_Opts.m_TokenTime,
                              [Self = shared_from_this()] { Self->next(); });
  }

  void end() {
    if (m_Stream) {
      m_Exchange->sendChunk("data: [DONE]\n\n");
      m_Exchange->endStream();
    } else {
      m_Exchange->reply(
          200, {{"Content-Type", "application/json"}},
          dumpJson({{"choices", {{{"message", {{"content", m_Text}}}}}}}));
    }
    m_Engine.m_Loop.defer(
        [Self = shared_from_this()] { Self->m_Timer = Timer(); });
  }

  StandinEngine &m_Engine;
  HttpExchangePtr m_Exchange;
  std::string m_Prompt;
  int m_Tokens;
  bool m_Stream;
  int m_CutAfter;
  int m_Sent = 0;
  std::string m_Text;
  Timer m_Timer;
};

StandinEngine::StandinEngine(EventLoop &Loop, Options Opts)
    : m_Loop(Loop), m_Opts(std::move(Opts)),
      m_Server(
          Loop,
          {.m_Listen = m_Opts.m_Listen, .m_Limits = {.m_MaxBody = 8 << 20}},
          [this](const HttpExchangePtr &Exchange) { handle(Exchange); }),
      m_KvReserve(m_Opts.m_KvReserve) {}

void StandinEngine::handle(const HttpExchangePtr &Exchange) {
  const std::string &Path = Exchange->path();
  try {
    if (Path == "/engine/v1/orders")
      return order(Exchange);
    if (Path == "/engine/v1/token")
      return raise(Exchange);
    if (Path == "/engine/v1/report")
      return report(Exchange);
    if (Path == "/standin/stats")
      return stats(Exchange);
    if (Path == "/standin/fault") {
      m_Fault = parseJson(Exchange->body());
      return Exchange->reply(200, {}, "{}");
    }
    complete(Exchange);
  } catch (const std::exception &) {
    Exchange->reply(400, {}, "{}");
  }
}

MemoryMiB StandinEngine::taken() const {
  MemoryMiB Sum = m_KvReserve;
  for (const auto &[Name, Each] : m_Held)
    Sum += Each.m_Size;
  return Sum;
}

void StandinEngine::apply(const EngineOrder &Order) {
  ++m_Orders;
  if (Order.m_Verb == OrderVerb::Load)
    m_Held.try_emplace(
        Order.m_Artifact,
        Held{Order.m_Size, EventLoop::now() + m_Opts.m_LoadTime});
  else if (Order.m_Verb == OrderVerb::Unload)
    m_Held.erase(Order.m_Artifact);
  else
    m_KvReserve = Order.m_Size;
  if (taken() > m_Opts.m_Capacity)
    ++m_Overcommits;
}

void StandinEngine::order(const HttpExchangePtr &Exchange) {
  const EngineOrder Order = engineOrderFromJson(parseJson(Exchange->body()));
  if (fieldOr<bool>(m_Fault, "lose_orders", false))
    return Exchange->abort();
  if (m_Opts.m_ChecksTokens) {
    if (Order.m_Token <= m_Highest)
      return Exchange->reply(409, {}, R"({"error":"stale token"})");
    m_Highest = Order.m_Token;
  }
  apply(Order);
  if (fieldOr<bool>(m_Fault, "lose_order_answers", false))
    return Exchange->abort();
  Exchange->reply(200, {}, "{}");
}

void StandinEngine::raise(const HttpExchangePtr &Exchange) {
  const Json Body = parseJson(Exchange->body());
  const OrderToken Token{.m_Assignment =
                             field<FencingToken>(Body, "assignment"),
                         .m_Sequence = field<std::uint64_t>(Body, "sequence")};
  m_Highest = std::max(m_Highest, Token);
  Exchange->reply(200, {}, "{}");
}

void StandinEngine::report(const HttpExchangePtr &Exchange) const {
  EngineReport Report;
  Report.m_HighestToken = m_Highest;
  Report.m_KvReserve = m_KvReserve;
  for (const auto &[Name, Each] : m_Held)
    Report.m_Artifacts.push_back(
        {Name, Each.m_Size, EventLoop::now() >= Each.m_ReadyAt});
  Exchange->reply(200, {{"Content-Type", "application/json"}},
                  dumpJson(toJson(Report)));
}

void StandinEngine::stats(const HttpExchangePtr &Exchange) const {
  Exchange->reply(200, {},
                  dumpJson({{"overcommits", m_Overcommits},
                            {"requests", m_Requests},
                            {"cancelled", m_Cancelled},
                            {"orders", m_Orders},
                            {"taken_mib", taken()}}));
}

void StandinEngine::complete(const HttpExchangePtr &Exchange) {
  const Json Body = parseJson(Exchange->body());
  const auto Found =
      m_Held.find(ArtifactName(field<std::string>(Body, "model")));
  const bool Ready =
      Found != m_Held.end() && EventLoop::now() >= Found->second.m_ReadyAt;
  if (!Ready)
    return Exchange->reply(404, {}, R"({"error":{"code":"model_not_found"}})");
  ++m_Requests;
  std::make_shared<Answer>(*this, Exchange, Body)->start();
}

} // namespace havenstair
