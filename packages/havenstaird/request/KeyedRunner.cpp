#include "havenstaird/request/KeyedRunner.h"

#include "decisions/common/StableHash.h"
#include "havenstaird/request/Dispatcher.h"
#include "wire/common/EventLoop.h"

namespace havenstair {

namespace {

constexpr Duration RunningRetryAfter = 1s;

KeyedRequest keyedRequest(const ForwardedRequest &Request) {
  const std::string What = Request.m_Method + " " + Request.m_Target;
  return {.m_Group = Request.m_Group,
          .m_Key = Request.m_Key,
          .m_Fingerprint = stableHash(What, Request.m_Body)};
}

Failure failureFor(KeyVerdict Verdict) {
  switch (Verdict) {
  case KeyVerdict::Running:
    return {.m_Kind = ErrorKind::KeyRunning, .m_RetryAfter = RunningRetryAfter};
  case KeyVerdict::Reused:
    return {.m_Kind = ErrorKind::KeyReused};
  case KeyVerdict::NotOwner:
    return {.m_Kind = ErrorKind::KeyOwnerUnavailable,
            .m_RetryAfter = RunningRetryAfter};
  default:
    return {.m_Kind = ErrorKind::OutcomeUnknown};
  }
}

void sendStored(const StoredAnswer &Stored, AnswerSink &Sink) {
  Sink.started(0us);
  Sink.head(
      {.m_Status = Stored.m_Status, .m_ContentType = Stored.m_ContentType});
  Sink.bytes(Stored.m_Body);
  Sink.ended(0);
}

} // namespace

/// Stores the whole answer before any of it is sent to the caller.
class KeyedRunner::StoringSink : public AnswerSink {
public:
  StoringSink(KeyedRunner &Owner, KeyedRequest Request, AnswerSinkPtr Caller)
      : m_Owner(Owner), m_Request(std::move(Request)),
        m_Caller(std::move(Caller)) {}

  void started(Duration Waited) override { m_Caller->started(Waited); }
  void head(const AnswerHead &Head) override {
    m_Answer.m_Status = Head.m_Status;
    m_Answer.m_ContentType = Head.m_ContentType;
  }
  void bytes(std::string_view Bytes) override { m_Answer.m_Body.append(Bytes); }
  void ended(double Tokens) override {
    --m_Owner.m_Running;
    m_Owner.m_Registry.answered(m_Request, m_Answer, EventLoop::now());
    m_Caller->head({.m_Status = m_Answer.m_Status,
                    .m_ContentType = m_Answer.m_ContentType});
    m_Caller->bytes(m_Answer.m_Body);
    m_Caller->ended(Tokens);
  }
  void failed(const Failure &Reason) override {
    --m_Owner.m_Running;
    if (answerFor(Reason.m_Kind).m_RunState == RunState::NotRun)
      m_Owner.m_Registry.notRun(m_Request);
    else
      m_Owner.m_Registry.unknown(m_Request, EventLoop::now());
    m_Caller->failed(Reason);
  }

private:
  KeyedRunner &m_Owner;
  KeyedRequest m_Request;
  AnswerSinkPtr m_Caller;
  StoredAnswer m_Answer;
};

KeyedRunner::KeyedRunner(Dispatcher &Via, Options Opts)
    : m_Dispatcher(Via), m_Opts(std::move(Opts)),
      m_Registry(m_Opts.m_Registry) {}

void KeyedRunner::follow(const Assignment &Current) {
  for (int Slice = 0; Slice < KeySliceCount; ++Slice) {
    const bool Mine = Current.ownerOfSlice(Slice) == m_Opts.m_Self;
    if (Mine)
      m_Registry.own(Slice, EventLoop::now(), EventLoop::wallMillis());
    else if (m_Registry.owns(Slice))
      m_Registry.disown(Slice);
  }
}

void KeyedRunner::run(const ForwardedRequest &Request,
                      const AnswerSinkPtr &Sink) {
  if (!m_Opts.m_MayOwn()) {
    Sink->failed(failureFor(KeyVerdict::NotOwner));
    return;
  }
  const KeyedRequest Keyed = keyedRequest(Request);
  StoredAnswer Stored;
  const KeyVerdict Verdict = m_Registry.begin(Keyed, EventLoop::now(),
                                              EventLoop::wallMillis(), Stored);
  if (Verdict == KeyVerdict::Answered)
    return sendStored(Stored, *Sink);
  if (Verdict != KeyVerdict::Run)
    return Sink->failed(failureFor(Verdict));
  ++m_Running;
  ForwardedRequest Work = Request;
  Work.m_Unsafe = true;
  // The answer is stored as a whole, so the caller gets nothing before its end.
  m_Dispatcher.dispatch(std::move(Work),
                        std::make_shared<StoringSink>(*this, Keyed, Sink));
}

void KeyedRunner::tick() { m_Registry.expire(EventLoop::now()); }

} // namespace havenstair
