#include "havenstaird/request/CallerApi.h"

#include "decisions/request/Router.h"
#include "havenstaird/common/Log.h"
#include "havenstaird/process/Metrics.h"
#include "havenstaird/request/ErrorReply.h"
#include "wire/common/Crypto.h"
#include "wire/common/EventLoop.h"
#include <charconv>

namespace havenstair {

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::string_view ServicePrefix = "/v1/services/";
/// Estimate for prompts in usual languages.
constexpr double CharactersPerToken = 4;
/// Cost of reading a token of the prompt, relative to generating one.
constexpr double PromptTokenCost = 0.1;
constexpr double DefaultMaxTokens = 256;
constexpr long MaxDeadlineMs = 600000;
constexpr int MaxPriority = 9;
constexpr std::size_t MaxKeyLength = 128;
constexpr Duration ConcurrencyRetryAfter = 500ms;

/// Returns a whole number from a header; \p Default when the header is absent.
long headerNumber(const HttpExchange &Exchange, const std::string &Name,
                  long Default, long Min, long Max) {
  const std::string Text = Exchange.header(Name);
  if (Text.empty())
    return Default;
  long Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Value);
  const bool Good = Result.ec == std::errc() && Result.ptr == End &&
                    Value >= Min && Value <= Max;
  if (!Good)
    throw RequestError(ErrorKind::BadRequest, "Header " + Name +
                                                  " must be from " +
                                                  std::to_string(Min) + " to " +
                                                  std::to_string(Max) + ".");
  return Value;
}

bool headerFlag(const HttpExchange &Exchange, const std::string &Name) {
  const std::string Text = Exchange.header(Name);
  if (Text.empty() || Text == "false")
    return false;
  if (Text == "true")
    return true;
  throw RequestError(ErrorKind::BadRequest,
                     "Header " + Name + " must be true or false.");
}

/// Reads what both kinds of request have in common.
ForwardedRequest readCommon(const HttpExchange &Exchange,
                            Duration DefaultDeadline) {
  ForwardedRequest Request;
  const std::string Key = Exchange.header("Idempotency-Key");
  if (Key.size() > MaxKeyLength)
    throw RequestError(ErrorKind::BadRequest,
                       "Header Idempotency-Key is too long.");
  Request.m_Key = IdempotencyKey(Key);
  Request.m_Unsafe = headerFlag(Exchange, "Havenstair-Unsafe") || !Key.empty();
  const long Millis =
      headerNumber(Exchange, "Havenstair-Deadline-Ms",
                   DefaultDeadline.count() / 1000, 1, MaxDeadlineMs);
  Request.m_Budget = std::chrono::milliseconds(Millis);
  Request.m_Priority = static_cast<int>(
      headerNumber(Exchange, "Havenstair-Priority", 0, 0, MaxPriority));
  Request.m_Method = Exchange.method();
  Request.m_ContentType = Exchange.header("Content-Type");
  Request.m_Body = Exchange.body();
  return Request;
}

/// Returns the text of a prompt, from which its cost and its prefix are
/// derived.
std::string promptOf(const Json &Body) {
  const auto Prompt = Body.find("prompt");
  if (Prompt != Body.end() && Prompt->is_string())
    return Prompt->get<std::string>();
  std::string Text;
  const auto Messages = Body.find("messages");
  if (Messages == Body.end() || !Messages->is_array())
    return Text;
  for (const Json &Message : *Messages) {
    if (!Message.is_object())
      continue;
    const auto Content = Message.find("content");
    if (Content != Message.end() && Content->is_string())
      Text += Content->get<std::string>() + "\n";
  }
  return Text;
}

double costOf(const Json &Body, const std::string &Prompt) {
  const double MaxTokens =
      fieldOr<double>(Body, "max_tokens", DefaultMaxTokens);
  const double PromptTokens =
      static_cast<double>(Prompt.size()) / CharactersPerToken;
  return std::max(1.0, MaxTokens) + PromptTokens * PromptTokenCost;
}

} // namespace

ForwardedRequest readModelRequest(const HttpExchange &Exchange,
                                  Duration DefaultDeadline) {
  if (Exchange.method() != "POST")
    throw RequestError(ErrorKind::WrongMethod, "Use POST.");
  ForwardedRequest Request = readCommon(Exchange, DefaultDeadline);
  Request.m_Target = Exchange.path();
  Json Body;
  try {
    Body = parseJson(Request.m_Body);
  } catch (const DecodeError &Error) {
    throw RequestError(ErrorKind::BadJson, Error.what());
  }
  try {
    Request.m_Artifact = ArtifactName(field<std::string>(Body, "model"));
    Request.m_Stream = fieldOr<bool>(Body, "stream", false);
    const std::string Prompt = promptOf(Body);
    Request.m_Cost = costOf(Body, Prompt);
    Request.m_Prefix = promptPrefix(Prompt);
  } catch (const DecodeError &Error) {
    throw RequestError(ErrorKind::BadRequest, Error.what());
  }
  return Request;
}

ForwardedRequest readServiceRequest(const HttpExchange &Exchange,
                                    Duration DefaultDeadline) {
  const std::string &Method = Exchange.method();
  const bool Allowed = Method == "GET" || Method == "POST" || Method == "PUT" ||
                       Method == "DELETE";
  if (!Allowed)
    throw RequestError(ErrorKind::WrongMethod, "Use GET, POST, PUT or DELETE.");
  ForwardedRequest Request = readCommon(Exchange, DefaultDeadline);
  const std::string Rest = Exchange.path().substr(ServicePrefix.size());
  const std::size_t Slash = Rest.find('/');
  Request.m_Service = Rest.substr(0, Slash);
  Request.m_Target = Slash == std::string::npos ? "/" : Rest.substr(Slash);
  if (!Exchange.query().empty())
    Request.m_Target += "?" + Exchange.query();
  if (Request.m_Service.empty())
    throw RequestError(ErrorKind::NotFound);
  return Request;
}

/// Writes one answer to the caller, and records its latencies and outcome.
class CallerApi::CallerSink : public AnswerSink {
public:
  CallerSink(CallerApi &Api, HttpExchangePtr Exchange, GroupName Group,
             RequestId Id, bool Stream)
      : m_Api(Api), m_Exchange(std::move(Exchange)), m_Group(std::move(Group)),
        m_Id(std::move(Id)), m_Stream(Stream), m_Arrived(EventLoop::now()) {}

  void setGiveUp(std::function<void()> GiveUp) { m_GiveUp = std::move(GiveUp); }

  void started(Duration Waited) override { m_Times.m_Queued = Waited; }

  void head(const AnswerHead &Head) override {
    m_Head = Head;
    if (!m_Stream || Head.m_Status / 100 != 2)
      return;
    m_Exchange->startStream(Head.m_Status, headers());
  }

  void bytes(std::string_view Bytes) override {
    noteBytes();
    if (!m_Exchange->streaming()) {
      m_Body.append(Bytes);
      return;
    }
    if (m_Exchange->sendChunk(Bytes))
      return;
    logWarning(LogPart::Entry,
               "Request " + m_Id.str() + ": the caller reads too slowly.");
    m_Exchange->abort();
    left();
  }

  void ended(double Tokens) override {
    if (m_Exchange->streaming())
      m_Exchange->endStream();
    else
      m_Exchange->reply(m_Head.m_Status, headers(), m_Body);
    done("ok", Tokens);
  }

  void failed(const Failure &Reason) override {
    if (m_Exchange->streaming()) {
      // An error event without the end mark, so that no client takes the stream
      // for a complete answer.
      m_Exchange->sendChunk("data: " + dumpJson(errorBody(Reason, m_Id)) +
                            "\n\n");
      m_Exchange->endStream();
    } else {
      replyError(m_Exchange, Reason, m_Id);
    }
    done(answerFor(Reason.m_Kind).m_Code, 0);
  }

  /// The caller has left, so the request is cancelled.
  void left() {
    if (m_Done)
      return;
    done(answerFor(ErrorKind::CallerLeft).m_Code, 0);
    if (m_GiveUp)
      m_GiveUp();
  }

private:
  HttpHeaders headers() const {
    HttpHeaders Result{{"Havenstair-Request-Id", m_Id.str()}};
    if (!m_Head.m_ContentType.empty())
      Result.push_back({"Content-Type", m_Head.m_ContentType});
    return Result;
  }

  void noteBytes() {
    const TimePoint Now = EventLoop::now();
    if (!m_Times.m_HasFirstByte) {
      m_Times.m_HasFirstByte = true;
      m_Times.m_FirstByte = Now - m_Arrived;
    } else if (m_Stream) {
      m_Api.m_Metrics.betweenTokens(m_Group, Now - m_LastBytes);
    }
    m_LastBytes = Now;
  }

  void done(std::string_view Code, double Tokens) {
    if (std::exchange(m_Done, true))
      return;
    m_Times.m_Whole = EventLoop::now() - m_Arrived;
    m_Api.ended(m_Group, Tokens);
    m_Api.m_Metrics.answered(m_Group, Code, m_Times);
    m_Api.m_Log.end(m_Id, std::string(Code), m_Times.m_Queued, m_Times.m_Whole);
    logDebug(LogPart::Entry,
             "Request " + m_Id.str() + " ended: " + std::string(Code) + ".");
  }

  CallerApi &m_Api;
  HttpExchangePtr m_Exchange;
  GroupName m_Group;
  RequestId m_Id;
  bool m_Stream;
  TimePoint m_Arrived;
  TimePoint m_LastBytes;
  RequestTimes m_Times;
  AnswerHead m_Head;
  std::string m_Body;
  bool m_Done = false;
  std::function<void()> m_GiveUp;
};

CallerApi::CallerApi(GroupLimiter &Limiter, Metrics &Numbers, RequestLog &Log,
                     Options Opts)
    : m_Limiter(Limiter), m_Metrics(Numbers), m_Log(Log),
      m_Opts(std::move(Opts)) {}

RequestId CallerApi::nextId() {
  return RequestId(m_Opts.m_IdPrefix + "-" + std::to_string(++m_LastId));
}

void CallerApi::handle(const HttpExchangePtr &Exchange) {
  const RequestId Id = nextId();
  try {
    route(Exchange, Id);
  } catch (const RequestError &Error) {
    m_Metrics.answered(GroupName(), answerFor(Error.failure().m_Kind).m_Code,
                       {});
    replyError(Exchange, Error.failure(), Id);
  } catch (const std::exception &Error) {
    logError(LogPart::Entry, "Request " + Id.str() + ": " + Error.what());
    replyError(Exchange, {.m_Kind = ErrorKind::Internal}, Id);
  }
}

void CallerApi::turnedAway(const HttpExchangePtr &Exchange,
                           HttpServer::Turned Why) {
  const bool TooLarge = Why == HttpServer::Turned::BodyTooLarge;
  const Failure Reason{.m_Kind = TooLarge ? ErrorKind::BodyTooLarge
                                          : ErrorKind::Overloaded,
                       .m_RetryAfter = 1s};
  m_Metrics.answered(GroupName(), answerFor(Reason.m_Kind).m_Code, {});
  replyError(Exchange, Reason, nextId());
}

void CallerApi::route(const HttpExchangePtr &Exchange, const RequestId &Id) {
  const std::string &Path = Exchange->path();
  const GroupRow &Row = authenticate(*Exchange);
  if (Path == "/v1/models") {
    if (Exchange->method() != "GET")
      throw RequestError(ErrorKind::WrongMethod, "Use GET.");
    return listModels(Exchange, Row);
  }
  const bool IsModel =
      Path == "/v1/chat/completions" || Path == "/v1/completions";
  if (!IsModel && !Path.starts_with(ServicePrefix))
    throw RequestError(ErrorKind::NotFound);
  // The target of the group is the deadline of a request to a model, so that
  // one that would miss it is refused at once, unless its caller gives a longer
  // deadline.
  ForwardedRequest Request =
      IsModel ? readModelRequest(*Exchange, Row.m_Targets.m_FirstToken)
              : readServiceRequest(*Exchange, m_Opts.m_DefaultDeadline);
  // The answer does not show whether a model does not exist or is not allowed.
  if (IsModel && !Row.mayCall(Request.m_Artifact))
    throw RequestError(ErrorKind::ModelNotAvailable);
  if (!IsModel && Row.m_Services.count(Request.m_Service) == 0)
    throw RequestError(ErrorKind::NotFound);
  Request.m_Id = Id;
  Request.m_Group = Row.m_Group;
  start(Exchange, Row, std::move(Request));
}

const GroupRow &CallerApi::authenticate(const HttpExchange &Exchange) const {
  const std::string Header = Exchange.header("Authorization");
  if (!Header.starts_with(BearerPrefix))
    throw RequestError(ErrorKind::MissingKey);
  // The lookup is by hash, so its duration reveals nothing about the key.
  const std::string Hash = sha256Hex(Header.substr(BearerPrefix.size()));
  const GroupRow *Row = m_Opts.m_Table().findByKeyHash(Hash);
  if (Row == nullptr)
    throw RequestError(ErrorKind::UnknownKey);
  return *Row;
}

void CallerApi::listModels(const HttpExchangePtr &Exchange,
                           const GroupRow &Row) const {
  Json Data = Json::array();
  for (const ArtifactName &Name : Row.m_Artifacts)
    Data.push_back({{"id", Name.str()},
                    {"object", "model"},
                    {"owned_by", Row.m_Group.str()}});
  const Json Body{{"object", "list"}, {"data", std::move(Data)}};
  Exchange->reply(200, {{"Content-Type", "application/json"}}, dumpJson(Body));
}

void CallerApi::start(const HttpExchangePtr &Exchange, const GroupRow &Row,
                      ForwardedRequest Request) {
  if (const auto Reason = m_Limiter.tryAdmit(Row, EventLoop::now())) {
    m_Metrics.answered(Row.m_Group, answerFor(Reason->m_Kind).m_Code, {});
    return replyError(Exchange, *Reason, Request.m_Id);
  }
  m_Opts.m_Enter(Row, [this, Exchange, Group = Row.m_Group,
                       Request = std::move(Request)](bool Allowed) {
    if (Allowed && Exchange->open())
      return run(Exchange, Group, Request);
    ended(Group, 0);
    const Failure Reason{.m_Kind = ErrorKind::ConcurrencyLimited,
                         .m_RetryAfter = ConcurrencyRetryAfter};
    m_Metrics.answered(Group, answerFor(Reason.m_Kind).m_Code, {});
    replyError(Exchange, Reason, Request.m_Id);
  });
}

void CallerApi::ended(const GroupName &Group, double Tokens) {
  m_Limiter.finished(Group, Tokens);
  m_Opts.m_Left(Group);
}

void CallerApi::run(const HttpExchangePtr &Exchange, const GroupName &Group,
                    ForwardedRequest Request) {
  auto Sink = std::make_shared<CallerSink>(*this, Exchange, Group, Request.m_Id,
                                           Request.m_Stream);
  Exchange->onCallerLeft([Weak = std::weak_ptr<CallerSink>(Sink)] {
    if (const auto Held = Weak.lock())
      Held->left();
  });
  m_Log.begin({.m_Id = Request.m_Id,
               .m_Group = Group,
               .m_Target = Request.m_Service.empty() ? Request.m_Artifact.str()
                                                     : Request.m_Service});
  Sink->setGiveUp(m_Opts.m_Start(std::move(Request), Sink));
}

} // namespace havenstair
