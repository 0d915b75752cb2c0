#include "wire/common/HttpClient.h"

#include "wire/common/EventLoop.h"
#include <cstdint>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>

namespace havenstair {

namespace {

constexpr std::size_t MaxHeaderBytes = 16 << 10;

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
  }
  return EVHTTP_REQ_GET;
}

HttpHeaders copyHeaders(const evkeyvalq *From) {
  HttpHeaders Result;
  for (const evkeyval *Each = From->tqh_first; Each != nullptr;
       Each = Each->next.tqe_next)
    Result.push_back({Each->key, Each->value});
  return Result;
}

} // namespace

std::string findHeader(const HttpHeaders &Headers, std::string_view Name) {
  for (const HttpHeader &Header : Headers) {
    const bool Same =
        Header.m_Name.size() == Name.size() &&
        strncasecmp(Header.m_Name.data(), Name.data(), Name.size()) == 0;
    if (Same)
      return Header.m_Value;
  }
  return {};
}

struct HttpCallHandle::State : std::enable_shared_from_this<State> {
  EventLoop *m_Loop = nullptr;
  HttpCall m_Call;
  evhttp_connection *m_Connection = nullptr;
  bool m_Done = false;
  bool m_Failed = false;

  /// evhttp still uses the connection while its callbacks run, so it is freed
  /// in the next pass of the loop.
  void closeLater() {
    if (m_Connection == nullptr)
      return;
    evhttp_connection *Closing = m_Connection;
    m_Connection = nullptr;
    const std::shared_ptr<evhttp_connection> Held(Closing,
                                                  evhttp_connection_free);
    m_Loop->defer([Self = shared_from_this(), Held] {});
  }

  void finish(HttpEnd End) {
    if (m_Done)
      return;
    m_Done = true;
    closeLater();
    if (m_Call.m_OnEnd)
      m_Call.m_OnEnd(End);
  }

  void passBytes(evhttp_request *Request) {
    evbuffer *Input = evhttp_request_get_input_buffer(Request);
    const std::size_t Length = evbuffer_get_length(Input);
    if (Length == 0 || m_Done || !m_Call.m_OnBytes)
      return;
    const auto *Bytes =
        reinterpret_cast<const char *>(evbuffer_pullup(Input, -1));
    const std::string Copy(Bytes, Length);
    evbuffer_drain(Input, Length);
    m_Call.m_OnBytes(Copy);
  }

  static int onHead(evhttp_request *Request, void *Arg) {
    const auto Self = static_cast<State *>(Arg)->shared_from_this();
    if (!Self->m_Done && Self->m_Call.m_OnHead)
      Self->m_Call.m_OnHead(
          evhttp_request_get_response_code(Request),
          copyHeaders(evhttp_request_get_input_headers(Request)));
    return 0;
  }

  static void onChunk(evhttp_request *Request, void *Arg) {
    const auto Self = static_cast<State *>(Arg)->shared_from_this();
    Self->passBytes(Request);
  }

  static void onError(evhttp_request_error, void *Arg) {
    static_cast<State *>(Arg)->m_Failed = true;
  }

  /// evhttp gives no request after a failure on an open connection, and a
  /// request without a status when the connection could not be opened.
  static void onDone(evhttp_request *Request, void *Arg) {
    const auto Self = static_cast<State *>(Arg)->shared_from_this();
    if (Self->m_Done)
      return;
    if (Request == nullptr || Self->m_Failed)
      return Self->finish(HttpEnd::Broken);
    if (evhttp_request_get_response_code(Request) == 0)
      return Self->finish(HttpEnd::NotWritten);
    Self->passBytes(Request);
    Self->finish(HttpEnd::Complete);
  }

  bool open() {
    m_Connection = evhttp_connection_base_new(
        m_Loop->base(), nullptr, m_Call.m_To.m_Address.c_str(),
        static_cast<std::uint16_t>(m_Call.m_To.m_Port));
    if (m_Connection == nullptr)
      return false;
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

  bool send() {
    evhttp_request *Request = evhttp_request_new(onDone, this);
    evhttp_request_set_header_cb(Request, onHead);
    evhttp_request_set_chunked_cb(Request, onChunk);
    evhttp_request_set_error_cb(Request, onError);
    evkeyvalq *Headers = evhttp_request_get_output_headers(Request);
    evhttp_add_header(Headers, "Host", m_Call.m_To.str().c_str());
    evhttp_add_header(Headers, "Connection", "close");
    for (const HttpHeader &Header : m_Call.m_Headers)
      evhttp_add_header(Headers, Header.m_Name.c_str(), Header.m_Value.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(Request),
                 m_Call.m_Body.data(), m_Call.m_Body.size());
    return evhttp_make_request(m_Connection, Request,
                               toCommand(m_Call.m_Method),
                               m_Call.m_Target.c_str()) == 0;
  }
};

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

void HttpCallHandle::cancel() {
  if (!m_State)
    return;
  m_State->m_Done = true;
  m_State->closeLater();
  m_State.reset();
}

HttpCallHandle HttpClient::start(HttpCall Call) {
  auto State = std::make_shared<HttpCallHandle::State>();
  State->m_Loop = &m_Loop;
  State->m_Call = std::move(Call);
  // Not from here: the caller does not hold the handle yet.
  m_Loop.defer([State] {
    if (State->m_Done)
      return;
    if (!State->open() || !State->send())
      State->finish(HttpEnd::NotWritten);
  });
  return HttpCallHandle(State);
}

void HttpClient::fetch(HttpCall Call, std::function<void(HttpAnswer)> Done) {
  const std::uint64_t Id = ++m_NextFetch;
  auto Answer = std::make_shared<HttpAnswer>();
  Call.m_OnHead = [Answer](int Status, const HttpHeaders &Headers) {
    Answer->m_Status = Status;
    Answer->m_Headers = Headers;
  };
  Call.m_OnBytes = [Answer](std::string_view Bytes) {
    Answer->m_Body.append(Bytes);
  };
  Call.m_OnEnd = [this, Id, Answer, Done = std::move(Done)](HttpEnd End) {
    Answer->m_End = End;
    // The handle must outlive this callback, which belongs to it.
    m_Loop.defer([this, Id] { m_Fetches.erase(Id); });
    Done(std::move(*Answer));
  };
  m_Fetches.emplace(Id, start(std::move(Call)));
}

} // namespace havenstair
