#include "wire/common/HttpExchange.h"

#include "wire/common/EventBuffer.h"
#include "wire/common/InboundConnection.h"
#include "wire/common/TcpSocket.h"
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>
#include <utility>

namespace havenstair {

namespace {

/// How often a connection with bytes of a further request is looked at, to see
/// whether its caller has left.
constexpr Duration PipelinedLookInterval = 100ms;

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
void endByReset(evhttp_connection *Connection) {
  bufferevent *Stream = evhttp_connection_get_bufferevent(Connection);
  bufferevent_disable(Stream, EV_READ | EV_WRITE);
  const sockaddr Nobody{.sa_family = AF_UNSPEC};
  connect(bufferevent_getfd(Stream), &Nobody, sizeof(Nobody));
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

BufferPtr toBuffer(SharedBytes Bytes) {
  BufferPtr Buffer(evbuffer_new());
  addReference(Buffer.get(), std::move(Bytes));
  return Buffer;
}

} // namespace

HttpExchange::HttpExchange(EventLoop &Loop, evhttp_request *Request,
                           const std::shared_ptr<InboundConnection> &From,
                           Options Opts)
    : m_Loop(Loop), m_Request(Request), m_Opts(std::move(Opts)), m_From(From),
      m_Method(methodName(evhttp_request_get_command(Request))),
      m_Body(From->takeBody()), m_Unambiguous(From->unambiguous()) {
  const char *Target = evhttp_request_get_uri(Request);
  m_Target = Target == nullptr ? "" : Target;
  readTarget(evhttp_request_get_evhttp_uri(Request));
  ++*m_Opts.m_OpenCount;
}

/// evhttp takes what follows two slashes for an authority, which a target that
/// begins with a slash does not have (RFC 9112, section 3.2.1). \p Parsed,
/// which may be null, is what it made of the target.
void HttpExchange::readTarget(const evhttp_uri *Parsed) {
  if (m_Target.starts_with('/')) {
    const std::string Whole = m_Target.substr(0, m_Target.find('#'));
    const std::size_t Mark = Whole.find('?');
    m_Path = Whole.substr(0, Mark);
    m_Query = Mark == std::string::npos ? "" : Whole.substr(Mark + 1);
    return;
  }
  const char *Path = Parsed == nullptr ? nullptr : evhttp_uri_get_path(Parsed);
  const char *Query =
      Parsed == nullptr ? nullptr : evhttp_uri_get_query(Parsed);
  m_Path = Path == nullptr ? "" : Path;
  m_Query = Query == nullptr ? "" : Query;
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
  if (const auto From = m_From.lock())
    From->onClosed([this](evhttp_connection *Closing) { callerLeft(Closing); });
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
    endByReset(Closing);
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
  m_Request = nullptr;
  m_Left = nullptr;
  m_Opts.m_Unread = MemoryCharge();
  --*m_Opts.m_OpenCount;
  if (const auto From = m_From.lock())
    From->onAnswered();
}

void HttpExchange::addHeaders(const HttpHeaders &Headers) {
  evkeyvalq *Out = evhttp_request_get_output_headers(m_Request);
  for (const HttpHeader &Header : Headers)
    evhttp_add_header(Out, Header.m_Name.c_str(), Header.m_Value.c_str());
}

void HttpExchange::reply(int Status, const HttpHeaders &Headers,
                         SharedBytes Body, AnswerFraming Framing) {
  if (m_Request == nullptr)
    return;
  if (Framing == AnswerFraming::Connection) {
    startStream(Status, Headers, Framing);
    evhttp_send_reply_chunk(m_Request, toBuffer(std::move(Body)).get());
    return endStream();
  }
  addHeaders(Headers);
  evhttp_request *Request = m_Request;
  release();
  evhttp_send_reply(Request, Status, nullptr, toBuffer(std::move(Body)).get());
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
  const std::size_t Unread = Waiting + Bytes.size();
  if (Unread > m_Opts.m_MaxBuffered || !m_Opts.m_Unread.resize(Unread))
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
    endByReset(Connection);
  // The server frees those that are left when it is destroyed.
  m_Loop.defer([Connection] { evhttp_connection_free(Connection); });
}

} // namespace havenstair
