#include "wire/common/HttpServer.h"

#include "wire/common/TcpSocket.h"
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <optional>
#include <stdexcept>
#include <sys/socket.h>
#include <utility>

namespace havenstair {

namespace {

/// Bytes of one connection that may wait in the kernel; it takes twice that.
constexpr int ReceiveBuffer = 64 << 10;

constexpr int TooLargeStatus = 413;
constexpr int UnavailableStatus = 503;

constexpr ev_uint16_t AllMethods =
    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
    EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

int socketOf(evhttp_connection *Connection) {
  return bufferevent_getfd(evhttp_connection_get_bufferevent(Connection));
}

} // namespace

HttpServer::HttpServer(EventLoop &Loop, Options Opts, Handler OnRequest,
                       Refuser OnTurnedAway)
    : m_Loop(Loop), m_Opts(std::move(Opts)), m_Limits(m_Opts.m_Limits),
      m_Handler(std::move(OnRequest)), m_TurnedAway(std::move(OnTurnedAway)),
      m_Http(evhttp_new(Loop.base())),
      m_AcceptedEvent(event_new(Loop.base(), -1, 0, watchAccepted, this)) {
  if (m_Http == nullptr || m_AcceptedEvent == nullptr)
    throw std::runtime_error("no HTTP server could be made");
  evhttp_set_allowed_methods(m_Http, AllMethods);
  evhttp_set_max_headers_size(m_Http,
                              static_cast<ev_ssize_t>(m_Limits.m_MaxHeaders));
  evhttp_set_gencb(m_Http, onRequest, this);
  evhttp_set_bevcb(m_Http, onAccepted, this);
  try {
    m_Listener = std::make_unique<PortListener>(
        Loop, m_Opts.m_Listen,
        [this](evconnlistener *Listener) { onListening(Listener); },
        m_Opts.m_OnListening);
  } catch (const std::runtime_error &) {
    event_free(m_AcceptedEvent);
    evhttp_free(m_Http);
    throw;
  }
}

void HttpServer::onListening(evconnlistener *Listener) {
  m_Socket = evhttp_bind_listener(m_Http, Listener);
  m_Pause = std::make_unique<ListenerPause>(m_Loop, Listener);
  setsockopt(evconnlistener_get_fd(Listener), SOL_SOCKET, SO_RCVBUF,
             &ReceiveBuffer, sizeof(ReceiveBuffer));
}

HttpServer::~HttpServer() {
  for (const ConnectionPtr &Each : m_Accepted)
    Each->close(nullptr);
  event_free(m_AcceptedEvent);
  evhttp_free(m_Http);
}

void HttpServer::stopAccepting() {
  m_Listener->giveUp();
  if (m_Socket == nullptr)
    return;
  m_Pause->giveUp();
  evhttp_del_accept_socket(m_Http, m_Socket);
  m_Socket = nullptr;
}

std::size_t HttpServer::unsentAnswers(Duration MaxSilence) const {
  std::size_t Result = 0;
  for (const auto &[Connection, Each] : m_Connections) {
    bufferevent *Stream = evhttp_connection_get_bufferevent(Connection);
    if (evbuffer_get_length(bufferevent_get_output(Stream)) > 0 &&
        silenceOf(socketOf(Connection)) < MaxSilence)
      ++Result;
  }
  return Result;
}

std::size_t HttpServer::waiting() const {
  return m_Socket == nullptr
             ? 0
             : waitingConnections(evhttp_bound_socket_get_fd(m_Socket));
}

void HttpServer::setLimits(const InboundConnection::Limits &Limits) {
  if (Limits == m_Limits)
    return;
  m_Limits = Limits;
  evhttp_set_max_headers_size(m_Http,
                              static_cast<ev_ssize_t>(m_Limits.m_MaxHeaders));
  std::vector<ConnectionPtr> Open = m_Accepted;
  for (const auto &[Connection, Each] : m_Connections)
    Open.push_back(Each);
  for (const ConnectionPtr &Each : Open)
    Each->limitsChanged();
}

bufferevent *HttpServer::onAccepted(event_base *Base, void *Arg) {
  auto *Self = static_cast<HttpServer *>(Arg);
  bufferevent *Stream = bufferevent_socket_new(Base, -1, BEV_OPT_CLOSE_ON_FREE);
  if (Stream == nullptr)
    return nullptr;
  Self->noteAccepted();
  Self->m_Accepted.push_back(std::make_shared<InboundConnection>(
      Self->m_Loop, Stream, Self->m_Limits, Self->m_Opts.m_Memory,
      [Self](TimePoint Now) { return Self->makeRoom(Now); },
      [Self, Stream](const TimedOutConnection &Which) {
        Self->onTimeout(Stream, Which);
      }));
  // evhttp makes its connection after this, and reads from it in a later pass
  // of the loop.
  event_active(Self->m_AcceptedEvent, EV_TIMEOUT, 0);
  return Stream;
}

void HttpServer::noteAccepted() {
  ++m_AcceptedCount;
  if (!m_Opts.m_OnConnection)
    return;
  const Duration Refused = m_Opts.m_OnConnection(EventLoop::now());
  if (Refused > 0us)
    m_Pause->begin(Refused);
}

void HttpServer::watchAccepted(evutil_socket_t, short, void *Arg) {
  auto *Self = static_cast<HttpServer *>(Arg);
  for (const ConnectionPtr &Each : std::exchange(Self->m_Accepted, {})) {
    evhttp_connection *Connection = Each->connection();
    evhttp_connection_set_closecb(Connection, onClosed, Self);
    Self->m_Connections.insert_or_assign(Connection, Each);
  }
}

void HttpServer::onClosed(evhttp_connection *Closing, void *Arg) {
  auto *Self = static_cast<HttpServer *>(Arg);
  const auto Found = Self->m_Connections.extract(Closing);
  if (!Found.empty())
    Found.mapped()->close(Closing);
}

/// An orderly close would leave what the caller does not read with the system.
void HttpServer::onTimeout(bufferevent *Stream,
                           const TimedOutConnection &Which) {
  if (m_Opts.m_OnTimeout)
    m_Opts.m_OnTimeout(Which);
  if (Which.m_Stage == ConnectionStage::Answering ||
      Which.m_Stage == ConnectionStage::Delivering)
    setResetOnClose(bufferevent_getfd(Stream), true);
  bufferevent_trigger_event(Stream, BEV_EVENT_READING | BEV_EVENT_TIMEOUT, 0);
}

/// Makes bodies that come slowly give up what they have reserved.
bool HttpServer::makeRoom(TimePoint Now) {
  bool Result = false;
  for (const auto &[Connection, Each] : m_Connections)
    Result = Each->releaseStalled(Now) || Result;
  return Result;
}

void HttpServer::onRequest(evhttp_request *Request, void *Arg) {
  auto *Self = static_cast<HttpServer *>(Arg);
  const ConnectionPtr From =
      Self->m_Connections.at(evhttp_request_get_connection(Request));
  const auto Exchange = std::make_shared<HttpExchange>(
      Self->m_Loop, Request, From,
      HttpExchange::Options{.m_MaxBuffered = Self->m_Opts.m_MaxBuffered,
                            .m_OpenCount = Self->m_OpenCount,
                            .m_Unread = Self->m_Opts.m_Memory.chargeAnswer()});
  Exchange->watchClose();
  if (!From->takeFirst() && Self->m_Opts.m_OnFurtherRequest)
    Self->m_Opts.m_OnFurtherRequest(EventLoop::now());
  Self->handle(Exchange, *From);
}

void HttpServer::handle(const HttpExchangePtr &Exchange,
                        const InboundConnection &From) {
  std::optional<TurnedAway> Why = From.refusal();
  if ((m_Socket == nullptr || m_CloseAfterAnswers) && !From.skipping())
    evhttp_add_header(evhttp_request_get_output_headers(Exchange->m_Request),
                      "Connection", "close");
  if (!Why && *m_OpenCount > m_Opts.m_MaxOpen)
    Why = TurnedAway::TooMany;
  if (!Why)
    return m_Handler(Exchange);
  if (m_TurnedAway)
    return m_TurnedAway(Exchange, *Why);
  Exchange->reply(*Why == TurnedAway::BodyTooLarge ? TooLargeStatus
                                                   : UnavailableStatus,
                  {}, {});
}

} // namespace havenstair
