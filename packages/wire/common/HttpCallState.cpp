#include "wire/common/HttpCallState.h"

#include "wire/common/EventBuffer.h"
#include "wire/common/RequestHead.h"
#include "wire/common/TcpSocket.h"
#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace havenstair {

namespace {

constexpr std::size_t MaxHeaderBytes = 16 << 10;

/// Most interim answers before the final one.
constexpr int MaxInterimAnswers = 8;

/// Most bytes of framing around a body: of each of its bytes, and besides.
/// Chunks of a single byte have five.
constexpr std::size_t MaxFramingPerByte = 8;
constexpr std::size_t MaxFramingBytes = 64 << 10;

/// Longest line that tells a chunk's size; evhttp sets no bound.
constexpr std::size_t MaxChunkLine = 4 << 10;

/// Most fields of an answer, and lines of heads before the final one is whole.
constexpr std::size_t MaxFields = 256;
constexpr std::size_t MaxHeadLines = MaxFields + 64;

/// Bytes that evhttp and the copy of a field hold besides its text, which both
/// have.
constexpr std::size_t BytesPerField = 200;

/// Copies of the text of a head that is being read.
constexpr std::size_t CopiesOfHead = 4;

constexpr const char *CodingField = "Transfer-Encoding";

constexpr int ContinueStatus = 100;
constexpr int FirstFinalStatus = 200;

evhttp_cmd_type toCommand(HttpMethod Method) {
  switch (Method) {
  case HttpMethod::Get:
    return EVHTTP_REQ_GET;
  case HttpMethod::Post:
    return EVHTTP_REQ_POST;
  case HttpMethod::Put:
    return EVHTTP_REQ_PUT;
  case HttpMethod::Delete:
    return EVHTTP_REQ_DELETE;
  case HttpMethod::Head:
    return EVHTTP_REQ_HEAD;
  case HttpMethod::Options:
    return EVHTTP_REQ_OPTIONS;
  case HttpMethod::Patch:
    return EVHTTP_REQ_PATCH;
  }
  return EVHTTP_REQ_GET;
}

/// Unacknowledged bytes end a connection after this, in milliseconds: a
/// machine without power says nothing.
constexpr int UserTimeoutMs = 3000;

/// How long a connection may rest when the other side does not say.
constexpr Duration DefaultRest = 2s;

/// Part of what the other side's `Keep-Alive` says that is used.
constexpr double RestPart = 0.8;

/// Sets what evhttp leaves to the system.
void tuneSocket(evhttp_connection *Connection) {
  const int Socket =
      bufferevent_getfd(evhttp_connection_get_bufferevent(Connection));
  if (Socket < 0)
    return;
  sendWithoutDelay(Socket);
  setsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &UserTimeoutMs,
             sizeof(UserTimeoutMs));
}

bool connected(evhttp_connection *Connection) {
  const int Socket =
      bufferevent_getfd(evhttp_connection_get_bufferevent(Connection));
  sockaddr_storage Peer{};
  socklen_t Length = sizeof(Peer);
  return Socket >= 0 &&
         getpeername(Socket, reinterpret_cast<sockaddr *>(&Peer), &Length) == 0;
}

/// How long a connection may rest after an answer with \p Headers.
Duration restAllowed(const HttpHeaders &Headers) {
  constexpr std::string_view Field = "timeout=";
  const std::string Text = findHeader(Headers, "Keep-Alive");
  const std::size_t At = Text.find(Field);
  if (At == std::string::npos)
    return DefaultRest;
  int Seconds = 0;
  const char *Start = Text.data() + At + Field.size();
  std::from_chars(Start, Text.data() + Text.size(), Seconds);
  return fromSeconds(Seconds * RestPart);
}

/// Whether the connection of \p Answer may carry another one (RFC 9112,
/// sections 6.1 and 9.3).
bool isPersistent(const evhttp_request &Answer, const HttpHeaders &Headers) {
  const std::string Wish = findHeader(Headers, "Connection");
  if (Answer.major > 1 || (Answer.major == 1 && Answer.minor >= 1))
    return !sameFieldName(Wish, "close");
  return sameFieldName(Wish, "keep-alive") &&
         findHeader(Headers, CodingField).empty();
}

/// \returns the bytes that \p Headers and evhttp's own copy of them hold.
std::size_t sizeInMemory(const HttpHeaders &Headers) {
  std::size_t Result = 0;
  for (const HttpHeader &Each : Headers)
    Result += 2 * (Each.m_Name.size() + Each.m_Value.size()) + BytesPerField;
  return Result;
}

HttpHeaders copyHeaders(const evkeyvalq *From) {
  HttpHeaders Result;
  for (const evkeyval *Each = From->tqh_first; Each != nullptr;
       Each = Each->next.tqe_next)
    Result.push_back({Each->key, Each->value});
  return Result;
}

} // namespace

/// What the system holds of the request would be sent after an orderly close,
/// and reach the other side long after the call has ended.
void HttpCallHandle::State::giveUp() {
  if (m_Connection == nullptr)
    return;
  bufferevent *Stream = evhttp_connection_get_bufferevent(m_Connection);
  bufferevent_disable(Stream, EV_READ | EV_WRITE);
  setResetOnClose(bufferevent_getfd(Stream), true);
  closeLater();
}

/// evhttp still uses the connection while its callbacks run, so it is freed
/// in the next pass of the loop. Until then it must not come up: evhttp would
/// send the request of a call that was given up.
void HttpCallHandle::State::closeLater() {
  if (m_Connection == nullptr)
    return;
  evhttp_connection *Closing = m_Connection;
  m_Connection = nullptr;
  bufferevent_setcb(evhttp_connection_get_bufferevent(Closing), nullptr,
                    nullptr, nullptr, nullptr);
  stopNotingWrites(Closing);
  stopNotingReads(Closing);
  m_Request = nullptr;
  const std::shared_ptr<evhttp_connection> Held(Closing,
                                                evhttp_connection_free);
  m_Loop->defer([Self = shared_from_this(), Held] {});
}

/// evhttp fills the output buffer when the connection is up, and not before.
void HttpCallHandle::State::onOutput(evbuffer *, const evbuffer_cb_info *Change,
                                     void *Arg) {
  auto *Self = static_cast<State *>(Arg);
  if (Change->n_added > 0)
    Self->m_Written = true;
  const bool Empty = Change->orig_size + Change->n_added == Change->n_deleted;
  if (Empty && Change->n_deleted > 0 && !Self->m_Done &&
      Self->m_Call.m_OnWritten)
    Self->m_Call.m_OnWritten();
}

/// evhttp reads an answer for as long as bytes come, so what is no answer
/// would be read, and partly kept, without end.
void HttpCallHandle::State::onInput(evbuffer *Input,
                                    const evbuffer_cb_info *Change, void *Arg) {
  auto *Self = static_cast<State *>(Arg);
  Self->m_Received += Change->n_added;
  if (Change->n_added == 0 || Self->m_Done)
    return Self->releaseRead(Input);
  if (Self->m_Status == 0) {
    if (Self->m_HeadLines > MaxHeadLines)
      return Self->giveUpLater();
    Self->noteNul(Input);
    Self->noteStatusLine(Input);
    Self->countLines(Input, Change->orig_size);
  }
  Self->passChunk(Input);
  if (!Self->m_Done &&
      (Self->exceedsFraming(Change->orig_size, evbuffer_get_length(Input)) ||
       !Self->hold(Input)))
    Self->giveUpLater();
}

/// evhttp keeps a chunk until it is whole, and it may be as large as an
/// answer: what comes of it is passed on before.
void HttpCallHandle::State::passChunk(evbuffer *Input) {
  const std::size_t Waiting = evbuffer_get_length(Input);
  const bool InsideChunk =
      m_Framing == AnswerFraming::Chunks && m_Request != nullptr &&
      m_Request->ntoread > 0 &&
      Waiting < static_cast<std::uint64_t>(m_Request->ntoread);
  if (!InsideChunk)
    return;
  m_Request->ntoread -= static_cast<ev_int64_t>(Waiting);
  pass(Input);
}

/// \returns whether there is memory for what has come and waits in \p Input,
/// and for the part of a head that evhttp has read.
bool HttpCallHandle::State::hold(evbuffer *Input) {
  const std::size_t Waiting = evbuffer_get_length(Input);
  if (m_Status == 0)
    m_HeadInMemory =
        CopiesOfHead * (m_Received - Waiting) + BytesPerField * m_HeadLines;
  return m_Held.resize(m_HeadInMemory + Waiting);
}

/// Counts the lines of \p Input behind \p From.
void HttpCallHandle::State::countLines(evbuffer *Input, std::size_t From) {
  evbuffer_ptr At{};
  evbuffer_ptr_set(Input, &At, From, EVBUFFER_PTR_SET);
  while ((At = evbuffer_search(Input, "\n", 1, &At)).pos >= 0) {
    ++m_HeadLines;
    if (evbuffer_ptr_set(Input, &At, 1, EVBUFFER_PTR_ADD) != 0)
      return;
  }
}

void HttpCallHandle::State::releaseRead(evbuffer *Input) {
  const std::size_t Left = m_HeadInMemory + evbuffer_get_length(Input);
  if (m_Status != 0 && Left < m_Held.bytes())
    m_Held.resize(Left);
}

/// evhttp takes a line for ended at a NUL byte: the head for whole, or a
/// length for a shorter one. \p Input begins with the rest of a head.
void HttpCallHandle::State::noteNul(evbuffer *Input) {
  constexpr char Nul = '\0';
  const ev_ssize_t At = evbuffer_search(Input, &Nul, 1, nullptr).pos;
  if (At < 0)
    return;
  std::string Before(static_cast<std::size_t>(At), Nul);
  evbuffer_copyout(Input, Before.data(), Before.size());
  m_NulInHead = m_NulInHead || findHeadEnd(Before) == 0;
}

/// evhttp reads a status as any number. It takes a line from \p Input only when
/// the line is whole.
void HttpCallHandle::State::noteStatusLine(evbuffer *Input) {
  if (m_StatusLine != StatusLineCheck::Unfinished)
    return;
  std::array<char, CheckedStatusLine> Start{};
  const ev_ssize_t Length = evbuffer_copyout(Input, Start.data(), Start.size());
  m_StatusLine = checkStatusLine(
      {Start.data(),
       static_cast<std::size_t>(std::max<ev_ssize_t>(0, Length))});
}

/// \p Waiting bytes were left when evhttp last read, and there are \p Now.
bool HttpCallHandle::State::exceedsFraming(std::size_t Waiting,
                                           std::size_t Now) const {
  if (m_Status == 0)
    return m_Received - Now > MaxHeaderBytes * (MaxInterimAnswers + 1);
  const bool AwaitsChunk = m_Framing == AnswerFraming::Chunks &&
                           m_Request != nullptr && m_Request->ntoread < 0;
  return (AwaitsChunk && Waiting > MaxChunkLine) ||
         m_Received - Now > m_Passed * (MaxFramingPerByte + 1) +
                                MaxHeaderBytes * (MaxInterimAnswers + 1) +
                                MaxFramingBytes;
}

/// Not at once: evhttp is using the connection.
void HttpCallHandle::State::giveUpLater() {
  m_Loop->defer([Self = weak_from_this()] {
    if (const auto Still = Self.lock())
      Still->finish(HttpEnd::Broken);
  });
}

/// After an interim answer evhttp reads once the socket can be written, and
/// until then takes the end of the connection for the answer's.
void HttpCallHandle::State::readOn() {
  bufferevent *Stream = evhttp_connection_get_bufferevent(m_Connection);
  evbuffer *Input = bufferevent_get_input(Stream);
  noteNul(Input);
  noteStatusLine(Input);
  if (evbuffer_get_length(Input) > 0)
    bufferevent_trigger(Stream, EV_WRITE, BEV_TRIG_DEFER_CALLBACKS);
}

void HttpCallHandle::State::noteReads() {
  evbuffer_add_cb(
      bufferevent_get_input(evhttp_connection_get_bufferevent(m_Connection)),
      onInput, this);
}

void HttpCallHandle::State::stopNotingReads(evhttp_connection *Connection) {
  evbuffer_remove_cb(
      bufferevent_get_input(evhttp_connection_get_bufferevent(Connection)),
      onInput, this);
}

void HttpCallHandle::State::noteWrites() {
  evbuffer_add_cb(
      bufferevent_get_output(evhttp_connection_get_bufferevent(m_Connection)),
      onOutput, this);
}

void HttpCallHandle::State::stopNotingWrites(evhttp_connection *Connection) {
  evbuffer_remove_cb(
      bufferevent_get_output(evhttp_connection_get_bufferevent(Connection)),
      onOutput, this);
}

/// The end of a call that failed before its answer.
HttpEnd HttpCallHandle::State::failure() const {
  return m_Written ? HttpEnd::Broken : HttpEnd::NotWritten;
}

void HttpCallHandle::State::finish(HttpEnd End) {
  if (m_Done)
    return;
  m_Done = true;
  m_ConnectTimer = Timer();
  m_TotalTimer = Timer();
  const bool Whole = End == HttpEnd::Complete || End == HttpEnd::Closed;
  if (!Whole)
    giveUp();
  else if (End == HttpEnd::Complete && mayKeep())
    keep();
  closeLater();
  m_Held = MemoryCharge();
  if (m_Call.m_OnEnd)
    m_Call.m_OnEnd(End);
}

/// Bytes after the answer belong to no request; a connection that has any is
/// not used again.
bool HttpCallHandle::State::mayKeep() const {
  if (m_Call.m_Use == ConnectionUse::Fresh || m_Connection == nullptr)
    return false;
  bufferevent *Stream = evhttp_connection_get_bufferevent(m_Connection);
  return connected(m_Connection) && m_Persistent &&
         evbuffer_get_length(bufferevent_get_input(Stream)) == 0;
}

void HttpCallHandle::State::keep() {
  const Duration Rest = restAllowed(m_AnswerHeaders);
  const auto Kept = m_Kept.lock();
  if (!Kept || Rest <= 0us)
    return;
  evhttp_connection *Connection = std::exchange(m_Connection, nullptr);
  stopNotingWrites(Connection);
  stopNotingReads(Connection);
  m_Request = nullptr;
  Kept->put(m_Call.m_To, Connection, EventLoop::now() + Rest);
}

void HttpCallHandle::State::pass(evbuffer *Bytes) {
  const std::size_t Length = evbuffer_get_length(Bytes);
  m_Passed += Length;
  std::string Copy(Length, '\0');
  evbuffer_remove(Bytes, Copy.data(), Length);
  if (Length > 0 && !m_Done && m_Call.m_OnBytes)
    m_Call.m_OnBytes(Copy);
}

/// \returns a negative value for an answer that cannot be read, which evhttp
/// then reports as a failure.
int HttpCallHandle::State::onHead(evhttp_request *Request, void *Arg) {
  const auto Self = static_cast<State *>(Arg)->shared_from_this();
  if (Self->m_Done)
    return 0;
  const int Status = evhttp_request_get_response_code(Request);
  evkeyvalq *Headers = evhttp_request_get_input_headers(Request);
  // evhttp goes on to the final answer after this one, and after no other; it
  // would keep these fields for it.
  if (Status == ContinueStatus) {
    evhttp_clear_headers(Headers);
    if (++Self->m_InterimAnswers > MaxInterimAnswers || Self->m_NulInHead ||
        Self->m_StatusLine != StatusLineCheck::Sound)
      return -1;
    Self->m_StatusLine = StatusLineCheck::Unfinished;
    Self->readOn();
    return 0;
  }
  Self->m_Status = Status;
  Self->m_AnswerHeaders = copyHeaders(Headers);
  Self->m_Persistent = isPersistent(*Request, Self->m_AnswerHeaders);
  Self->m_HeadInMemory = sizeInMemory(Self->m_AnswerHeaders);
  if (Status < FirstFinalStatus || Self->m_NulInHead ||
      Self->m_StatusLine != StatusLineCheck::Sound ||
      Self->m_AnswerHeaders.size() > MaxFields ||
      !framedUnambiguously(Self->m_AnswerHeaders) ||
      !Self->m_Held.resize(Self->m_HeadInMemory))
    return -1;
  Self->m_Framing =
      framingOf(Self->m_Call.m_Method, Status, Self->m_AnswerHeaders);
  if (Self->m_Framing == AnswerFraming::Connection)
    readUntilClose(Headers);
  if (Self->m_Call.m_OnHead)
    Self->m_Call.m_OnHead(Self->m_Status, Self->m_AnswerHeaders);
  return 0;
}

/// Without a length evhttp takes the body for empty when the head names a
/// connection that stays.
void HttpCallHandle::State::readUntilClose(evkeyvalq *Headers) {
  while (evhttp_remove_header(Headers, "Connection") == 0)
    continue;
  evhttp_add_header(Headers, "Connection", "close");
}

void HttpCallHandle::State::onChunk(evhttp_request *Request, void *Arg) {
  const auto Self = static_cast<State *>(Arg)->shared_from_this();
  Self->pass(evhttp_request_get_input_buffer(Request));
}

void HttpCallHandle::State::onError(evhttp_request_error, void *Arg) {
  static_cast<State *>(Arg)->m_Failed = true;
}

/// evhttp gives no request after a failure on an open connection, and a
/// request without a status when the connection could not be opened.
void HttpCallHandle::State::onDone(evhttp_request *Request, void *Arg) {
  const auto Self = static_cast<State *>(Arg)->shared_from_this();
  Self->m_Request = nullptr;
  if (Self->m_Done)
    return;
  if (Request == nullptr || Self->m_Failed)
    return Self->finish(HttpEnd::Broken);
  if (evhttp_request_get_response_code(Request) == 0)
    return Self->finish(Self->failure());
  Self->pass(evhttp_request_get_input_buffer(Request));
  Self->finish(Self->m_Framing == AnswerFraming::Connection
                   ? HttpEnd::Closed
                   : HttpEnd::Complete);
}

bool HttpCallHandle::State::open() {
  sockaddr_storage Address{};
  // evhttp would look a name up, and block the loop meanwhile.
  if (toSockaddr(m_Call.m_To, Address) == 0)
    return false;
  if (m_Call.m_Use == ConnectionUse::Reused)
    if (const auto Kept = m_Kept.lock())
      m_Connection = Kept->take(m_Call.m_To, EventLoop::now());
  if (m_Connection == nullptr)
    m_Connection = evhttp_connection_base_new(
        m_Loop->base(), nullptr, m_Call.m_To.m_Address.c_str(),
        static_cast<std::uint16_t>(m_Call.m_To.m_Port));
  if (m_Connection == nullptr)
    return false;
  noteWrites();
  noteReads();
  const Duration Idle = m_Call.m_IdleTimeout;
  const timeval Timeout{.tv_sec = Idle.count() / 1000000,
                        .tv_usec = Idle.count() % 1000000};
  evhttp_connection_set_timeout_tv(m_Connection, &Timeout);
  evhttp_connection_set_retries(m_Connection, 0);
  evhttp_connection_set_max_headers_size(m_Connection, MaxHeaderBytes);
  evhttp_connection_set_max_body_size(
      m_Connection, static_cast<ev_ssize_t>(m_Call.m_MaxBody));
  return true;
}

void HttpCallHandle::State::limitWhole() {
  if (m_Call.m_TotalTimeout <= 0us)
    return;
  m_TotalTimer =
      m_Loop->after(m_Call.m_TotalTimeout, [Self = weak_from_this()] {
        if (const auto Still = Self.lock())
          Still->finish(Still->failure());
      });
}

void HttpCallHandle::State::limitConnecting() {
  if (m_Call.m_ConnectTimeout <= 0us || connected(m_Connection))
    return;
  m_ConnectTimer =
      m_Loop->after(m_Call.m_ConnectTimeout, [Self = weak_from_this()] {
        const auto Still = Self.lock();
        if (Still && !Still->m_Done && Still->m_Connection != nullptr &&
            !connected(Still->m_Connection))
          Still->finish(Still->failure());
      });
}

bool HttpCallHandle::State::send() {
  evhttp_request *Request = evhttp_request_new(onDone, this);
  evhttp_request_set_header_cb(Request, onHead);
  evhttp_request_set_chunked_cb(Request, onChunk);
  evhttp_request_set_error_cb(Request, onError);
  evkeyvalq *Headers = evhttp_request_get_output_headers(Request);
  if (findHeader(m_Call.m_Headers, "Host").empty())
    evhttp_add_header(Headers, "Host", m_Call.m_To.str().c_str());
  if (m_Call.m_Use == ConnectionUse::Fresh)
    evhttp_add_header(Headers, "Connection", "close");
  for (const HttpHeader &Header : m_Call.m_Headers)
    evhttp_add_header(Headers, Header.m_Name.c_str(), Header.m_Value.c_str());
  // evhttp adds a length for some methods only.
  if (!m_Call.m_Body.empty())
    evhttp_add_header(Headers, "Content-Length",
                      std::to_string(m_Call.m_Body.size()).c_str());
  addReference(evhttp_request_get_output_buffer(Request),
               std::exchange(m_Call.m_Body, {}));
  m_Request = Request;
  const int Failed =
      evhttp_make_request(m_Connection, Request, toCommand(m_Call.m_Method),
                          m_Call.m_Target.c_str());
  if (Failed != 0)
    return false;
  // evhttp has ended the call when connect() failed at once.
  if (m_Done)
    return true;
  tuneSocket(m_Connection);
  limitConnecting();
  limitWhole();
  return true;
}

} // namespace havenstair
