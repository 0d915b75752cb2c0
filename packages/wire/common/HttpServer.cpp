#include "wire/common/HttpServer.h"

#include "wire/common/EventLoop.h"
#include "wire/common/HttpClient.h"
#include <algorithm>
#include <cctype>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <utility>

namespace havenstair {

namespace {

/// How often a connection with bytes of a further request is looked at, to see
/// whether its caller has left.
constexpr Duration PipelinedLookInterval = 100ms;

constexpr ev_uint16_t AllMethods =
    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
    EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

std::string methodName(evhttp_cmd_type Command) {
  switch (Command) {
  case EVHTTP_REQ_GET:
    return "GET";
  case EVHTTP_REQ_POST:
    return "POST";
  case EVHTTP_REQ_PUT:
    return "PUT";
  case EVHTTP_REQ_DELETE:
    return "DELETE";
  case EVHTTP_REQ_HEAD:
    return "HEAD";
  case EVHTTP_REQ_OPTIONS:
    return "OPTIONS";
  case EVHTTP_REQ_PATCH:
    return "PATCH";
  default:
    return {};
  }
}

std::string drain(evbuffer *Buffer) {
  const std::size_t Length = evbuffer_get_length(Buffer);
  std::string Text(Length, '\0');
  evbuffer_remove(Buffer, Text.data(), Length);
  return Text;
}

int boundPort(evutil_socket_t Socket) {
  sockaddr_storage Address{};
  socklen_t Length = sizeof(Address);
  if (getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Length) != 0)
    return 0;
  if (Address.ss_family == AF_INET6)
    return ntohs(reinterpret_cast<sockaddr_in6 *>(&Address)->sin6_port);
  return ntohs(reinterpret_cast<sockaddr_in *>(&Address)->sin_port);
}

/// Whether \p Name is a token of RFC 9110, section 5.6.2.
bool isToken(std::string_view Name) {
  constexpr std::string_view Signs = "!#$%&'*+-.^_`|~";
  const auto Allowed = [&](char Sign) {
    return std::isalnum(static_cast<unsigned char>(Sign)) != 0 ||
           Signs.find(Sign) != std::string_view::npos;
  };
  return !Name.empty() && std::all_of(Name.begin(), Name.end(), Allowed);
}

bool isNumber(std::string_view Text) {
  const auto IsDigit = [](char Sign) { return Sign >= '0' && Sign <= '9'; };
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), IsDigit);
}

/// The methods whose bodies evhttp reads; a body elsewhere would stay on the
/// connection and be read as the next request.
bool bodyIsRead(std::string_view Method) {
  return Method == "POST" || Method == "PUT" || Method == "PATCH";
}

/// Bytes of a cut answer that the socket takes at once still go out: the other
/// side may go on after them elsewhere.
void writeWhatIsLeft(bufferevent *Stream) {
  evbuffer *Output = bufferevent_get_output(Stream);
  if (evbuffer_get_length(Output) == 0)
    return;
  evbuffer_unfreeze(Output, 1);
  evbuffer_write(Output, bufferevent_getfd(Stream));
}

/// Whether the caller of \p Request can read chunks (RFC 9112, section 7).
bool understandsChunks(const evhttp_request *Request) {
  return Request->major > 1 || (Request->major == 1 && Request->minor >= 1);
}

int socketOf(evhttp_connection *Connection) {
  return bufferevent_getfd(evhttp_connection_get_bufferevent(Connection));
}

int socketOf(evhttp_request *Request) {
  evhttp_connection *Connection = evhttp_request_get_connection(Request);
  return Connection == nullptr ? -1 : socketOf(Connection);
}

/// Resets \p Connection, which evhttp would end in order; its socket stays
/// open.
void resetConnection(evhttp_connection *Connection) {
  bufferevent *Stream = evhttp_connection_get_bufferevent(Connection);
  bufferevent_disable(Stream, EV_READ | EV_WRITE);
  const sockaddr Nobody{.sa_family = AF_UNSPEC};
  connect(bufferevent_getfd(Stream), &Nobody, sizeof(Nobody));
}

/// Decides whether closing \p Socket, also by the end of the process, is a
/// reset.
void setResetOnClose(int Socket, bool Reset) {
  const linger Choice{.l_onoff = Reset ? 1 : 0, .l_linger = 0};
  if (Socket >= 0)
    setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Choice, sizeof(Choice));
}

bool hasError(evutil_socket_t Socket) {
  int Error = 0;
  socklen_t Length = sizeof(Error);
  return getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Length) != 0 ||
         Error != 0;
}

struct BufferDeleter {
  void operator()(evbuffer *Buffer) const { evbuffer_free(Buffer); }
};
using BufferPtr = std::unique_ptr<evbuffer, BufferDeleter>;

BufferPtr toBuffer(std::string_view Bytes) {
  BufferPtr Buffer(evbuffer_new());
  evbuffer_add(Buffer.get(), Bytes.data(), Bytes.size());
  return Buffer;
}

} // namespace

HttpExchange::HttpExchange(EventLoop &Loop, evhttp_request *Request,
                           std::size_t MaxBuffered,
                           std::shared_ptr<std::size_t> OpenCount)
    : m_Loop(Loop), m_Request(Request), m_MaxBuffered(MaxBuffered),
      m_OpenCount(std::move(OpenCount)),
      m_Method(methodName(evhttp_request_get_command(Request))),
      m_Body(drain(evhttp_request_get_input_buffer(Request))) {
  const evhttp_uri *Uri = evhttp_request_get_evhttp_uri(Request);
  const char *Path = Uri == nullptr ? nullptr : evhttp_uri_get_path(Uri);
  const char *Query = Uri == nullptr ? nullptr : evhttp_uri_get_query(Uri);
  m_Path = Path == nullptr ? "" : Path;
  m_Query = Query == nullptr ? "" : Query;
  const char *Target = evhttp_request_get_uri(Request);
  m_Target = Target == nullptr ? "" : Target;
  ++*m_OpenCount;
}

HttpExchange::~HttpExchange() {
  // Whoever held it forgot to answer; the caller must not wait for ever.
  if (m_Request != nullptr)
    abort();
}

std::string HttpExchange::queryValue(const std::string &Name) const {
  evkeyvalq Values;
  if (evhttp_parse_query_str(m_Query.c_str(), &Values) != 0)
    return {};
  const char *Found = evhttp_find_header(&Values, Name.c_str());
  std::string Result = Found == nullptr ? "" : Found;
  evhttp_clear_headers(&Values);
  return Result;
}

std::string HttpExchange::header(const std::string &Name) const {
  if (m_Request == nullptr)
    return {};
  const char *Found = evhttp_find_header(
      evhttp_request_get_input_headers(m_Request), Name.c_str());
  return Found == nullptr ? "" : Found;
}

HttpHeaders HttpExchange::headers() const {
  HttpHeaders Result;
  if (m_Request == nullptr)
    return Result;
  const evkeyvalq *From = evhttp_request_get_input_headers(m_Request);
  for (const evkeyval *Each = From->tqh_first; Each != nullptr;
       Each = Each->next.tqe_next)
    Result.push_back({Each->key, Each->value});
  return Result;
}

bool HttpExchange::framedUnambiguously() const {
  int Lengths = 0;
  int Codings = 0;
  bool HasBody = false;
  for (const HttpHeader &Header : headers()) {
    if (!isToken(Header.m_Name))
      return false;
    if (sameFieldName(Header.m_Name, "Content-Length")) {
      ++Lengths;
      HasBody = HasBody || Header.m_Value != "0";
      if (!isNumber(Header.m_Value))
        return false;
    }
    if (sameFieldName(Header.m_Name, "Transfer-Encoding")) {
      ++Codings;
      HasBody = true;
      if (!sameFieldName(Header.m_Value, "chunked"))
        return false;
    }
  }
  return Lengths + Codings <= 1 && (!HasBody || bodyIsRead(m_Method));
}

/// evhttp does not read until an answer begins, so it does not see the other
/// side leave before. An event of our own does, without taking bytes away.
void HttpExchange::watchClose() {
  evhttp_connection *Connection = evhttp_request_get_connection(m_Request);
  bufferevent *Stream = evhttp_connection_get_bufferevent(Connection);
  sendWithoutDelay(bufferevent_getfd(Stream));
  m_CloseEvent = event_new(
      m_Loop.base(), bufferevent_getfd(Stream), EV_READ | EV_CLOSED,
      [](evutil_socket_t Socket, short What, void *Arg) {
        static_cast<HttpExchange *>(Arg)->onSocketEvent(Socket, What);
      },
      this);
  event_add(m_CloseEvent, nullptr);
  evhttp_connection_set_closecb(
      Connection,
      [](evhttp_connection *Closing, void *Arg) {
        static_cast<HttpExchange *>(Arg)->callerLeft(Closing);
      },
      this);
}

/// libevent reports a connection that was reset as readable, never as closed.
void HttpExchange::onSocketEvent(int Socket, short What) {
  if ((What & EV_CLOSED) != 0 || hasError(Socket))
    return callerLeft(nullptr);
  // Bytes of the next request, which evhttp reads after this answer, stay
  // readable until then.
  m_NextLook = m_Loop.after(PipelinedLookInterval,
                            [this] { event_add(m_CloseEvent, nullptr); });
}

void HttpExchange::callerLeft(evhttp_connection *Closing) {
  const HttpExchangePtr Self = shared_from_this();
  if (m_Request == nullptr)
    return;
  const std::function<void()> Left = std::exchange(m_Left, nullptr);
  evhttp_request *Request = m_Request;
  const bool Detached = evhttp_request_get_connection(Request) == nullptr;
  release();
  if (m_Unframed && Closing != nullptr)
    resetConnection(Closing);
  // A closing connection frees its request, unless it has let go of it.
  if (Closing == nullptr || Detached)
    closeConnection(Request);
  if (Left)
    Left();
}

void HttpExchange::release() {
  if (m_CloseEvent != nullptr)
    event_free(m_CloseEvent);
  m_CloseEvent = nullptr;
  m_NextLook = Timer();
  if (evhttp_connection *Connection = evhttp_request_get_connection(m_Request))
    evhttp_connection_set_closecb(Connection, nullptr, nullptr);
  m_Request = nullptr;
  m_Left = nullptr;
  --*m_OpenCount;
}

void HttpExchange::addHeaders(const HttpHeaders &Headers) {
  evkeyvalq *Out = evhttp_request_get_output_headers(m_Request);
  for (const HttpHeader &Header : Headers)
    evhttp_add_header(Out, Header.m_Name.c_str(), Header.m_Value.c_str());
}

void HttpExchange::reply(int Status, const HttpHeaders &Headers,
                         std::string_view Body, AnswerFraming Framing) {
  if (m_Request == nullptr)
    return;
  if (Framing == AnswerFraming::Connection) {
    startStream(Status, Headers, Framing);
    evhttp_send_reply_chunk(m_Request, toBuffer(Body).get());
    return endStream();
  }
  addHeaders(Headers);
  evhttp_request *Request = m_Request;
  release();
  evhttp_send_reply(Request, Status, nullptr, toBuffer(Body).get());
}

AnswerFraming HttpExchange::startStream(int Status, const HttpHeaders &Headers,
                                        AnswerFraming Framing) {
  if (m_Request == nullptr)
    return Framing;
  addHeaders(Headers);
  m_Streaming = true;
  if (Framing == AnswerFraming::Connection || !understandsChunks(m_Request)) {
    startUnframed(Status);
    return AnswerFraming::Connection;
  }
  evhttp_send_reply_start(m_Request, Status, nullptr);
  return Framing;
}

/// evhttp adds chunks or a length to the head of each answer that may have a
/// body, so it is told that this one has none while it writes the head.
void HttpExchange::startUnframed(int Status) {
  evkeyvalq *Out = evhttp_request_get_output_headers(m_Request);
  evhttp_remove_header(Out, "Connection");
  evhttp_add_header(Out, "Connection", "close");
  m_Unframed = true;
  setResetOnClose(socketOf(m_Request), true);
  evhttp_request_set_on_complete_cb(
      m_Request,
      [](evhttp_request *Sent, void *) {
        setResetOnClose(socketOf(Sent), false);
      },
      nullptr);
  const evhttp_cmd_type Method = m_Request->type;
  m_Request->type = EVHTTP_REQ_HEAD;
  evhttp_send_reply_start(m_Request, Status, nullptr);
  m_Request->type = Method;
}

bool HttpExchange::sendChunk(std::string_view Bytes) {
  if (m_Request == nullptr || Bytes.empty())
    return true;
  evhttp_connection *Connection = evhttp_request_get_connection(m_Request);
  if (Connection == nullptr)
    return true;
  bufferevent *Stream = evhttp_connection_get_bufferevent(Connection);
  const std::size_t Waiting =
      evbuffer_get_length(bufferevent_get_output(Stream));
  if (Waiting + Bytes.size() > m_MaxBuffered)
    return false;
  evhttp_send_reply_chunk(m_Request, toBuffer(Bytes).get());
  return true;
}

void HttpExchange::endStream() {
  if (m_Request == nullptr)
    return;
  evhttp_request *Request = m_Request;
  release();
  evhttp_send_reply_end(Request);
}

void HttpExchange::abort() {
  if (m_Request == nullptr)
    return;
  evhttp_request *Request = m_Request;
  release();
  closeConnection(Request);
}

void HttpExchange::closeConnection(evhttp_request *Request) {
  evhttp_connection *Connection = evhttp_request_get_connection(Request);
  if (Connection == nullptr) {
    evhttp_request_free(Request);
    return;
  }
  // In the next pass, since evhttp may be using the connection now. Without
  // callbacks evhttp cannot free it before.
  bufferevent *Stream = evhttp_connection_get_bufferevent(Connection);
  bufferevent_disable(Stream, EV_READ | EV_WRITE);
  bufferevent_setcb(Stream, nullptr, nullptr, nullptr, nullptr);
  writeWhatIsLeft(Stream);
  if (m_Unframed)
    resetConnection(Connection);
  // The server frees those that are left when it is destroyed.
  m_Loop.defer([Connection] { evhttp_connection_free(Connection); });
}

HttpServer::HttpServer(EventLoop &Loop, Options Opts, Handler OnRequest,
                       TurnedAway OnTurnedAway)
    : m_Loop(Loop), m_Opts(std::move(Opts)), m_Handler(std::move(OnRequest)),
      m_TurnedAway(std::move(OnTurnedAway)), m_Http(evhttp_new(Loop.base())) {
  if (m_Http == nullptr)
    throw std::runtime_error("no HTTP server could be made");
  evhttp_set_allowed_methods(m_Http, AllMethods);
  evhttp_set_max_headers_size(m_Http,
                              static_cast<ev_ssize_t>(m_Opts.m_MaxHeaders));
  // Twice the limit: bodies a little too large get our own answer.
  evhttp_set_max_body_size(m_Http,
                           static_cast<ev_ssize_t>(m_Opts.m_MaxBody * 2));
  evhttp_set_timeout(m_Http,
                     static_cast<int>(m_Opts.m_IdleTimeout.count() / 1000000));
  evhttp_set_gencb(m_Http, onRequest, this);
  m_Endpoint = m_Opts.m_Listen;
  m_Socket = evhttp_bind_socket_with_handle(
      m_Http, m_Endpoint.m_Address.c_str(),
      static_cast<std::uint16_t>(m_Endpoint.m_Port));
  if (m_Socket == nullptr) {
    evhttp_free(m_Http);
    throw std::runtime_error("cannot listen on " + m_Opts.m_Listen.str());
  }
  m_Endpoint.m_Port = boundPort(evhttp_bound_socket_get_fd(m_Socket));
}

HttpServer::~HttpServer() { evhttp_free(m_Http); }

void HttpServer::stopAccepting() {
  if (m_Socket == nullptr)
    return;
  evhttp_del_accept_socket(m_Http, m_Socket);
  m_Socket = nullptr;
}

void HttpServer::setIdleTimeout(Duration Timeout) {
  evhttp_set_timeout(m_Http, static_cast<int>(Timeout / 1s));
}

void HttpServer::onRequest(evhttp_request *Request, void *Arg) {
  auto *Self = static_cast<HttpServer *>(Arg);
  const auto Exchange = std::make_shared<HttpExchange>(
      Self->m_Loop, Request, Self->m_Opts.m_MaxBuffered, Self->m_OpenCount);
  Exchange->watchClose();
  Self->handle(Exchange);
}

void HttpServer::handle(const HttpExchangePtr &Exchange) {
  if (m_Socket == nullptr || m_CloseAfterAnswers)
    evhttp_add_header(evhttp_request_get_output_headers(Exchange->m_Request),
                      "Connection", "close");
  const bool TooLarge = Exchange->body().size() > m_Opts.m_MaxBody;
  const bool TooMany = *m_OpenCount > m_Opts.m_MaxOpen;
  if (m_TurnedAway && (TooLarge || TooMany)) {
    m_TurnedAway(Exchange, TooLarge ? Turned::BodyTooLarge : Turned::TooMany);
    return;
  }
  m_Handler(Exchange);
}

} // namespace havenstair
