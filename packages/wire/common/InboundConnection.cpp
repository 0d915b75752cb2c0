#include "wire/common/InboundConnection.h"

#include "wire/common/EventLoop.h"
#include <algorithm>
#include <array>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <string_view>
#include <sys/socket.h>
#include <utility>

namespace havenstair {

namespace {

/// Most bytes that are read ahead while a request is open, unless a head may be
/// longer.
constexpr std::size_t MaxReadAhead = 64 << 10;

/// Bodies that come more slowly, in bytes a second, keep no memory reserved for
/// what has not come; after a first time without a judgement.
constexpr double MinBodyRate = 64 << 10;
constexpr Duration StallGrace = 1s;

constexpr std::string_view ContinueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

std::string_view firstBytes(evbuffer *Input) {
  evbuffer_iovec Piece{};
  if (evbuffer_peek(Input, -1, nullptr, &Piece, 1) < 1)
    return {};
  return {static_cast<const char *>(Piece.iov_base), Piece.iov_len};
}

std::string copyOf(evbuffer *Input) {
  std::string Result(evbuffer_get_length(Input), '\0');
  evbuffer_copyout(Input, Result.data(), Result.size());
  return Result;
}

} // namespace

InboundConnection::InboundConnection(EventLoop &Loop, bufferevent *Stream,
                                     const Limits &Bounds,
                                     const MemoryBudget &Memory,
                                     MakeRoom Reclaim,
                                     ConnectionTimer::Expired OnExpired)
    : m_Stream(Stream), m_Limits(Bounds), m_Memory(Memory),
      m_MakeRoom(std::move(Reclaim)),
      m_Timer(Loop, Stream, Bounds.m_Timeouts, std::move(OnExpired)) {
  m_Watch = evbuffer_add_cb(input(), onInput, this);
  boundInput();
}

void InboundConnection::boundInput() {
  bufferevent_setwatermark(m_Stream, EV_READ, 0,
                           std::max(MaxReadAhead, 2 * m_Limits.m_MaxHeaders));
}

void InboundConnection::limitsChanged() {
  if (evhttp_connection *Connection = connection()) {
    evhttp_connection_set_max_headers_size(
        Connection, static_cast<ev_ssize_t>(m_Limits.m_MaxHeaders));
    boundInput();
  }
  m_Timer.limitsChanged();
}

InboundConnection::~InboundConnection() { detach(); }

evbuffer *InboundConnection::input() const {
  return bufferevent_get_input(m_Stream);
}

/// evhttp passes its connection to the callbacks that it sets.
evhttp_connection *InboundConnection::connection() const {
  void *Arg = nullptr;
  if (m_Stream != nullptr)
    bufferevent_getcb(m_Stream, nullptr, nullptr, nullptr, &Arg);
  return static_cast<evhttp_connection *>(Arg);
}

void InboundConnection::close(evhttp_connection *Closing) {
  detach();
  if (const auto Closed = std::exchange(m_Closed, nullptr))
    Closed(Closing);
}

void InboundConnection::detach() {
  if (m_Stream == nullptr)
    return;
  evbuffer_remove_cb_entry(input(), m_Watch);
  m_Timer.stop();
  m_Stream = nullptr;
  m_Held = MemoryCharge();
  m_Collected = std::string();
}

void InboundConnection::onInput(evbuffer *, const evbuffer_cb_info *Change,
                                void *Arg) {
  if (Change->n_added == 0)
    return;
  auto *Self = static_cast<InboundConnection *>(Arg);
  Self->m_Timer.noteRead();
  Self->process();
}

void InboundConnection::process() {
  if (m_Processing || m_HeadWaits || m_Stream == nullptr)
    return;
  m_Processing = true;
  while (!m_HeadWaits && step())
    continue;
  m_Processing = false;
}

/// \returns whether there may be more to do with what has come.
bool InboundConnection::step() {
  if (m_State == State::Ended) {
    evbuffer_drain(input(), evbuffer_get_length(input()));
    return false;
  }
  if (m_Skipping)
    return skipBody();
  switch (m_State) {
  case State::Head:
    return readHead();
  case State::Body:
    return readBody();
  case State::Given:
  case State::Ended:
    return false;
  }
  return false;
}

bool InboundConnection::readHead() {
  if (evbuffer_get_length(input()) == 0)
    return false;
  std::string Text = m_Partial + copyOf(input());
  const std::size_t Length = findHeadEnd(Text);
  const bool TooLong = Length == 0 && Text.size() > m_Limits.m_MaxHeaders;
  if (Length == 0 && m_Partial.empty())
    m_Timer.enter(ConnectionStage::InHead);
  if (Length == 0 && !TooLong) {
    m_Partial = std::move(Text);
    evbuffer_drain(input(), evbuffer_get_length(input()));
    return false;
  }
  const std::size_t Before = m_Partial.size();
  m_Partial.clear();
  m_Refusal.reset();
  if (TooLong) {
    // evhttp does not count the ends of lines, and is made to refuse it.
    if (evhttp_connection *Connection = connection())
      evhttp_connection_set_max_headers_size(Connection, 1);
    evbuffer_drain(input(), evbuffer_get_length(input()));
    m_Head = RequestHead{.m_Text = std::move(Text)};
    giveHead(State::Ended);
    return false;
  }
  evbuffer_drain(input(), Length - Before);
  m_Head = readRequestHead(std::string_view(Text).substr(0, Length));
  if (m_Head.m_Unambiguous && m_Head.hasBody()) {
    beginBody(EventLoop::now());
    return true;
  }
  giveHead(m_Head.m_Unambiguous ? State::Given : State::Ended);
  return false;
}

void InboundConnection::beginBody(TimePoint Now) {
  m_State = State::Body;
  m_Timer.enter(ConnectionStage::InBody);
  m_Left = m_Head.m_Length;
  m_Chunks = ChunkDecoder();
  m_BodySince = Now;
  m_Held = m_Memory.chargeBody(m_Head.m_Length);
  if (m_Head.m_Length > m_Limits.m_MaxBody)
    return refuse(TurnedAway::BodyTooLarge);
  if (!reserve(m_Head.m_Length, Now))
    return refuse(TurnedAway::NoMemory);
  m_Collected.reserve(m_Head.m_Length);
  if (m_Head.m_AwaitsContinue && evbuffer_get_length(input()) == 0)
    send(bufferevent_getfd(m_Stream), ContinueAnswer.data(),
         ContinueAnswer.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
}

bool InboundConnection::bodyEnded() const {
  return m_Head.m_Chunked ? m_Chunks.whole() : m_Left == 0;
}

void InboundConnection::takeInput(const ChunkDecoder::Sink &Pass) {
  for (std::string_view Piece = firstBytes(input());
       !Piece.empty() && !bodyEnded() && !m_Chunks.failed();
       Piece = firstBytes(input())) {
    std::size_t Read = std::min(m_Left, Piece.size());
    if (m_Head.m_Chunked) {
      Read = m_Chunks.feed(Piece, Pass);
    } else {
      m_Left -= Read;
      Pass(Piece.substr(0, Read));
    }
    evbuffer_drain(input(), Read);
  }
}

bool InboundConnection::readBody() {
  takeInput([this](std::string_view Bytes) { append(Bytes); });
  if (m_Chunks.failed()) {
    m_Head.m_Unambiguous = false;
    giveHead(State::Ended);
    return false;
  }
  if (m_Refusal || !bodyEnded())
    return m_Skipping;
  m_Held.resize(m_Collected.capacity());
  m_Body = SharedBytes(std::exchange(m_Collected, {}),
                       std::exchange(m_Held, MemoryCharge()));
  giveHead(State::Given);
  return false;
}

void InboundConnection::append(std::string_view Bytes) {
  if (m_Refusal)
    return;
  const std::size_t Needed = m_Collected.size() + Bytes.size();
  if (Needed > m_Limits.m_MaxBody)
    return refuse(TurnedAway::BodyTooLarge);
  // A body of unknown length grows by half, so that few copies are made.
  if (Needed > m_Collected.capacity()) {
    const std::size_t Grown = std::min(m_Limits.m_MaxBody, Needed + Needed / 2);
    if (!reserve(Grown, EventLoop::now()))
      return refuse(TurnedAway::NoMemory);
    m_Collected.reserve(Grown);
  }
  if (Needed > m_Held.bytes() &&
      !reserve(std::max(Needed, m_Head.m_Length), EventLoop::now()))
    return refuse(TurnedAway::NoMemory);
  m_Collected.append(Bytes);
}

bool InboundConnection::reserve(std::size_t Bytes, TimePoint Now) {
  // How large it is shows only as it comes.
  if (m_Head.m_Chunked)
    m_Held = m_Memory.chargeBody(Bytes);
  return m_Held.resize(Bytes) || (m_MakeRoom(Now) && m_Held.resize(Bytes));
}

bool InboundConnection::releaseStalled(TimePoint Now) {
  const Duration Taken = Now - m_BodySince;
  const bool Stalled =
      m_State == State::Body && Taken > StallGrace &&
      static_cast<double>(m_Collected.size()) < MinBodyRate * inSeconds(Taken);
  return Stalled && m_Held.bytes() > m_Collected.size() &&
         m_Held.resize(m_Collected.size());
}

void InboundConnection::refuse(TurnedAway Why) {
  m_Refusal = Why;
  m_Collected = std::string();
  m_Held = MemoryCharge();
  m_Skipping = true;
}

/// \returns whether what follows the body may be read.
bool InboundConnection::skipBody() {
  takeInput([](std::string_view) {});
  m_Skipping = !bodyEnded() && !m_Chunks.failed();
  const State Next = m_Chunks.failed() ? State::Ended : State::Given;
  if (m_State == State::Body)
    giveHead(Next);
  else if (Next == State::Ended)
    m_State = Next;
  return !m_Skipping;
}

/// evhttp reads the head before whatever else has come.
void InboundConnection::giveHead(State Next) {
  m_State = Next;
  m_HeadWaits = true;
  // Closing a connection on which more of a body comes would reset it.
  const std::string Text = m_Head.whole(!m_Skipping);
  evbuffer *Whole = evbuffer_new();
  evbuffer_add(Whole, Text.data(), Text.size());
  evbuffer_prepend_buffer(input(), Whole);
  evbuffer_free(Whole);
  m_Head.m_Text = std::string();
}

SharedBytes InboundConnection::takeBody() {
  m_Timer.enter(ConnectionStage::Answering);
  m_HeadWaits = false;
  process();
  return std::exchange(m_Body, {});
}

void InboundConnection::onAnswered() {
  m_Closed = nullptr;
  m_Timer.enter(m_Skipping ? ConnectionStage::InBody
                           : ConnectionStage::Delivering);
  if (m_State == State::Given)
    m_State = State::Head;
  process();
}

} // namespace havenstair
