#include "wire/common/HttpClient.h"

#include "wire/common/EventLoop.h"
#include "wire/common/HttpCallState.h"
#include "wire/common/KeptConnections.h"
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <utility>

namespace havenstair {

namespace {

/// Idle timeouts within which a collected answer must be whole.
constexpr int IdleTimeoutsPerCall = 3;

} // namespace

HttpCallHandle::HttpCallHandle(std::shared_ptr<State> Running)
    : m_State(std::move(Running)) {}
HttpCallHandle::~HttpCallHandle() { cancel(); }
HttpCallHandle::HttpCallHandle(HttpCallHandle &&) noexcept = default;

HttpCallHandle &HttpCallHandle::operator=(HttpCallHandle &&Other) noexcept {
  if (this != &Other) {
    cancel();
    m_State = std::move(Other.m_State);
  }
  return *this;
}

void HttpCallHandle::pauseReading() {
  if (m_State && m_State->m_Connection != nullptr)
    bufferevent_disable(
        evhttp_connection_get_bufferevent(m_State->m_Connection), EV_READ);
}

void HttpCallHandle::resumeReading() {
  if (m_State && m_State->m_Connection != nullptr)
    bufferevent_enable(evhttp_connection_get_bufferevent(m_State->m_Connection),
                       EV_READ);
}

void HttpCallHandle::cancel() {
  if (!m_State)
    return;
  m_State->m_Done = true;
  m_State->giveUp();
  m_State->m_Held = MemoryCharge();
  m_State.reset();
}

HttpClient::HttpClient(EventLoop &Loop, Memory Bounds)
    : m_Loop(Loop), m_Memory(std::move(Bounds)),
      m_Kept(std::make_shared<KeptConnections>(Loop)) {}
HttpClient::~HttpClient() = default;

void HttpClient::forget(const Endpoint &To) { m_Kept->drop(To); }

HttpCallHandle HttpClient::start(HttpCall Call) {
  return start(std::move(Call), m_Memory.m_Started);
}

HttpCallHandle HttpClient::start(HttpCall Call, const MemoryBudget &Memory) {
  auto State = std::make_shared<HttpCallHandle::State>();
  State->m_Loop = &m_Loop;
  State->m_Kept = m_Kept;
  State->m_Call = std::move(Call);
  State->m_Held = Memory.chargeAnswer();
  // Not from here: the caller does not hold the handle yet.
  m_Loop.defer([State] {
    if (State->m_Done)
      return;
    if (!State->open() || !State->send())
      State->finish(State->failure());
  });
  return HttpCallHandle(State);
}

namespace {

/// An answer that is collected.
struct Collected {
  HttpAnswer m_Answer;
  MemoryCharge m_Held; ///< Charged for the body.
  bool m_NoRoom = false;

  void append(std::string_view Bytes) {
    std::string &Body = m_Answer.m_Body;
    const std::size_t Size = Body.size() + Bytes.size();
    m_NoRoom = m_NoRoom || !m_Held.resize(Size);
    if (!m_NoRoom) {
      Body.append(Bytes);
      return;
    }
    Body = std::string();
    m_Held = MemoryCharge();
  }

  HttpAnswer take(HttpEnd End) {
    m_Answer.m_End = m_NoRoom ? HttpEnd::Broken : End;
    return std::move(m_Answer);
  }
};

/// Lets \p Call collect its answer. \returns where it is collected.
std::shared_ptr<Collected> collect(HttpCall &Call, const MemoryBudget &Memory) {
  if (Call.m_TotalTimeout <= 0us)
    Call.m_TotalTimeout = IdleTimeoutsPerCall * Call.m_IdleTimeout;
  auto Result = std::make_shared<Collected>();
  Result->m_Held = Memory.chargeAnswer();
  Call.m_OnHead = [Result](int Status, const HttpHeaders &Headers) {
    Result->m_Answer.m_Status = Status;
    Result->m_Answer.m_Headers = Headers;
  };
  Call.m_OnBytes = [Result](std::string_view Bytes) { Result->append(Bytes); };
  return Result;
}

} // namespace

void HttpClient::fetch(HttpCall Call, std::function<void(HttpAnswer)> Done) {
  const std::uint64_t Id = ++m_NextFetch;
  const auto Answer = collect(Call, m_Memory.m_Collected);
  Call.m_OnEnd = [this, Id, Answer, Done = std::move(Done)](HttpEnd End) {
    // The handle must outlive this callback, which belongs to it.
    m_Loop.defer([Fetches = std::weak_ptr(m_Fetches), Id] {
      if (const auto Open = Fetches.lock())
        Open->erase(Id);
    });
    Done(Answer->take(End));
  };
  m_Fetches->emplace(Id, start(std::move(Call), m_Memory.m_Collected));
}

std::shared_ptr<void>
HttpClient::fetchHeld(HttpCall Call, std::function<void(HttpAnswer)> Done) {
  const auto Answer = collect(Call, m_Memory.m_Collected);
  Call.m_OnEnd = [Answer, Done = std::move(Done)](HttpEnd End) {
    Done(Answer->take(End));
  };
  return std::make_shared<HttpCallHandle>(
      start(std::move(Call), m_Memory.m_Collected));
}

} // namespace havenstair
