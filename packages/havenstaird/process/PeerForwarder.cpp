#include "havenstaird/process/PeerForwarder.h"

namespace havenstair {

/// Sends an answer back to the box that forwarded the attempt.
class PeerForwarder::ReturnSink : public AnswerSink {
public:
  ReturnSink(PeerForwarder &Owner, BoxName To, AttemptId Attempt)
      : m_Owner(Owner), m_To(std::move(To)), m_Attempt(Attempt) {}

  void started(Duration Waited) override {
    m_Owner.m_Send(m_To, StartedFrame{m_Attempt, Waited});
  }
  void head(const AnswerHead &Head) override {
    m_Owner.m_Send(m_To, HeadFrame{m_Attempt, Head});
  }
  void bytes(std::string_view Bytes) override {
    m_Owner.m_Send(m_To, BytesFrame{m_Attempt, std::string(Bytes)});
  }
  void ended(double Tokens) override {
    m_Owner.m_Send(m_To, EndedFrame{m_Attempt, Tokens});
    m_Owner.m_Incoming.erase({m_To, m_Attempt});
  }
  void failed(const Failure &Reason) override {
    m_Owner.m_Send(m_To, FailedFrame{m_Attempt, Reason});
    m_Owner.m_Incoming.erase({m_To, m_Attempt});
  }

private:
  PeerForwarder &m_Owner;
  BoxName m_To;
  AttemptId m_Attempt;
};

PeerForwarder::PeerForwarder(EventLoop &Loop, BoxName Self, FrameSender Send,
                             LocalRun Local)
    : m_Loop(Loop), m_Self(std::move(Self)), m_Send(std::move(Send)),
      m_Local(std::move(Local)) {}

bool PeerForwarder::run(const BoxName &To, const ForwardedRequest &Request,
                        AnswerSinkPtr Sink) {
  if (To != m_Self && !m_Send(To, ForwardFrame{Request}))
    return false;
  m_Outgoing[Request.m_Attempt] = {.m_To = To,
                                   .m_Unsafe = Request.m_Unsafe,
                                   .m_Sink = std::move(Sink),
                                   .m_CancelLocal = nullptr};
  if (To == m_Self)
    m_Loop.defer([this, Request] {
      const auto Found = m_Outgoing.find(Request.m_Attempt);
      if (Found != m_Outgoing.end())
        runLocal(Request, Found->second.m_Sink);
    });
  return true;
}

void PeerForwarder::runLocal(const ForwardedRequest &Request,
                             const AnswerSinkPtr &Sink) {
  std::function<void()> Cancel = m_Local(m_Self, Request, Sink);
  const auto Found = m_Outgoing.find(Request.m_Attempt);
  if (Found != m_Outgoing.end())
    Found->second.m_CancelLocal = std::move(Cancel);
}

void PeerForwarder::cancel(AttemptId Attempt) {
  const auto Found = m_Outgoing.find(Attempt);
  if (Found == m_Outgoing.end())
    return;
  const Outgoing Given = std::move(Found->second);
  m_Outgoing.erase(Found);
  if (Given.m_CancelLocal)
    Given.m_CancelLocal();
  else if (Given.m_To != m_Self)
    m_Send(Given.m_To, CancelFrame{Attempt});
}

/// Returns the sink of an attempt; null unless it was sent to \p From, since no
/// other box may answer it.
AnswerSinkPtr PeerForwarder::sinkOf(const BoxName &From, AttemptId Attempt) {
  const auto Found = m_Outgoing.find(Attempt);
  if (Found == m_Outgoing.end() || Found->second.m_To != From)
    return nullptr;
  return Found->second.m_Sink;
}

AnswerSinkPtr PeerForwarder::takeSink(const BoxName &From, AttemptId Attempt) {
  AnswerSinkPtr Sink = sinkOf(From, Attempt);
  if (Sink)
    m_Outgoing.erase(Attempt);
  return Sink;
}

bool PeerForwarder::onFrame(const BoxName &From, const PeerFrame &Frame) {
  if (const auto *Bytes = std::get_if<BytesFrame>(&Frame)) {
    if (const AnswerSinkPtr Sink = sinkOf(From, Bytes->m_Attempt)) {
      m_Outgoing[Bytes->m_Attempt].m_HasBytes = true;
      Sink->bytes(Bytes->m_Bytes);
    }
    return true;
  }
  if (const auto *Forward = std::get_if<ForwardFrame>(&Frame)) {
    onForward(From, Forward->m_Request);
    return true;
  }
  if (const auto *Started = std::get_if<StartedFrame>(&Frame)) {
    if (const AnswerSinkPtr Sink = sinkOf(From, Started->m_Attempt))
      Sink->started(Started->m_Waited);
    return true;
  }
  if (const auto *Head = std::get_if<HeadFrame>(&Frame)) {
    if (const AnswerSinkPtr Sink = sinkOf(From, Head->m_Attempt))
      Sink->head(Head->m_Head);
    return true;
  }
  if (const auto *Ended = std::get_if<EndedFrame>(&Frame)) {
    if (const AnswerSinkPtr Sink = takeSink(From, Ended->m_Attempt))
      Sink->ended(Ended->m_Tokens);
    return true;
  }
  if (const auto *Failed = std::get_if<FailedFrame>(&Frame)) {
    if (const AnswerSinkPtr Sink = takeSink(From, Failed->m_Attempt))
      Sink->failed(Failed->m_Failure);
    return true;
  }
  if (const auto *Cancel = std::get_if<CancelFrame>(&Frame)) {
    const auto Found = m_Incoming.find({From, Cancel->m_Attempt});
    if (Found == m_Incoming.end())
      return true;
    const std::function<void()> Stop = std::move(Found->second);
    m_Incoming.erase(Found);
    Stop();
    return true;
  }
  return false;
}

void PeerForwarder::onForward(const BoxName &From,
                              const ForwardedRequest &Request) {
  const IncomingKey Key(From, Request.m_Attempt);
  // A frame that arrives twice must not run the attempt twice.
  if (!m_Incoming.try_emplace(Key, [] {}).second)
    return;
  auto Sink = std::make_shared<ReturnSink>(*this, From, Request.m_Attempt);
  std::function<void()> Cancel = m_Local(From, Request, std::move(Sink));
  if (const auto Found = m_Incoming.find(Key); Found != m_Incoming.end())
    Found->second = std::move(Cancel);
}

/// The frame had been written, so it is unknown whether the attempt ran.
Failure PeerForwarder::failureWhenLost(const Outgoing &Lost) {
  if (Lost.m_Unsafe)
    return {.m_Kind = ErrorKind::OutcomeUnknown};
  return {.m_Kind =
              Lost.m_HasBytes ? ErrorKind::StreamCut : ErrorKind::OwnerLost};
}

void PeerForwarder::peerDown(const BoxName &Box) {
  std::vector<Outgoing> Lost;
  std::erase_if(m_Outgoing, [&](auto &Item) {
    if (Item.second.m_To != Box)
      return false;
    Lost.push_back(std::move(Item.second));
    return true;
  });
  std::vector<std::function<void()>> Stops;
  std::erase_if(m_Incoming, [&](auto &Item) {
    if (Item.first.first != Box)
      return false;
    Stops.push_back(std::move(Item.second));
    return true;
  });
  for (const std::function<void()> &Stop : Stops)
    Stop();
  for (const Outgoing &Each : Lost)
    Each.m_Sink->failed(failureWhenLost(Each));
}

} // namespace havenstair
