#include "havenstaird/request/ConcurrencyGate.h"

namespace havenstair {

ConcurrencyGate::ConcurrencyGate(EventLoop &Loop, const GroupLimiter &Limiter,
                                 Options Opts)
    : m_Loop(Loop), m_Limiter(Limiter), m_Opts(std::move(Opts)) {}

void ConcurrencyGate::enter(const GroupRow &Row, Answer Done) {
  const int Limit = Row.m_Limits.m_Concurrency;
  if (Limit == 0)
    return Done(true);
  const GroupName &Group = Row.m_Group;
  const int Running = m_Opts.m_Running(Group);
  const BoxName Home = m_Opts.m_HomeOf(Group);
  m_SentTo[Group] = Home;
  if (Home == m_Opts.m_Self)
    return Done(
        m_Home.tryRun(Group, m_Opts.m_Self, Running, m_Opts.m_ShareOf(Limit)));
  const std::uint64_t Id = ++m_LastId;
  Waiting &Item = m_Waiting[Id];
  Item.m_Row = Row;
  Item.m_Done = std::move(Done);
  const LimitAskFrame Ask{
      .m_Id = Id, .m_Group = Group, .m_Running = Running, .m_Limit = Limit};
  if (!m_Opts.m_Send(Home, Ask))
    return decideByOwnShare(Id);
  Item.m_Timer = m_Loop.after(m_Opts.m_AnswerTimeout, [this, Id] {
    // The timer is destroyed with its entry, which must outlive this call.
    m_Loop.defer([this, Id] { decideByOwnShare(Id); });
  });
}

void ConcurrencyGate::answer(std::uint64_t Id, bool Allowed) {
  const auto Found = m_Waiting.find(Id);
  if (Found == m_Waiting.end())
    return;
  const Answer Done = std::move(Found->second.m_Done);
  m_Waiting.erase(Found);
  Done(Allowed);
}

/// The even shares of all boxes add up to the limit.
void ConcurrencyGate::decideByOwnShare(std::uint64_t Id) {
  const auto Found = m_Waiting.find(Id);
  if (Found == m_Waiting.end())
    return;
  const GroupRow &Row = Found->second.m_Row;
  const int Share =
      concurrencyShare(Row.m_Limits.m_Concurrency, m_Limiter.share());
  answer(Id, m_Opts.m_Running(Row.m_Group) <= Share);
}

void ConcurrencyGate::left(const GroupName &Group) {
  const auto Found = m_SentTo.find(Group);
  if (Found != m_SentTo.end())
    sendCount(Group, Found->second);
}

void ConcurrencyGate::sendCount(const GroupName &Group, const BoxName &Home) {
  const int Running = m_Opts.m_Running(Group);
  if (Home == m_Opts.m_Self)
    m_Home.setRunning(Group, m_Opts.m_Self, Running);
  else
    m_Opts.m_Send(Home, LimitUpdateFrame{Group, Running});
}

void ConcurrencyGate::tick() {
  for (auto &[Group, SentTo] : m_SentTo) {
    const BoxName Home = m_Opts.m_HomeOf(Group);
    if (Home == SentTo)
      continue;
    SentTo = Home;
    sendCount(Group, Home);
  }
  std::erase_if(m_SentTo, [&](const auto &Item) {
    return m_Opts.m_Running(Item.first) == 0;
  });
}

bool ConcurrencyGate::onFrame(const BoxName &From, const PeerFrame &Frame) {
  if (const auto *Ask = std::get_if<LimitAskFrame>(&Frame)) {
    const bool Allowed = m_Home.tryRun(Ask->m_Group, From, Ask->m_Running,
                                       m_Opts.m_ShareOf(Ask->m_Limit));
    m_Opts.m_Send(From, LimitAnswerFrame{Ask->m_Id, Allowed});
    return true;
  }
  if (const auto *Reply = std::get_if<LimitAnswerFrame>(&Frame)) {
    answer(Reply->m_Id, Reply->m_Allowed);
    return true;
  }
  if (const auto *Count = std::get_if<LimitUpdateFrame>(&Frame)) {
    m_Home.setRunning(Count->m_Group, From, Count->m_Running);
    return true;
  }
  return false;
}

} // namespace havenstair
