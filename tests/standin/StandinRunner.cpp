#include "standin/StandinRunner.h"

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <optional>
#include <sstream>
#include <sys/socket.h>
#include <utility>

namespace havenstair {

namespace {

std::string lower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Letter) { return std::tolower(Letter); });
  return Text;
}

/// Takes one request out of \p Input when it is there as a whole.
std::optional<StandinRunner::Request> takeRequest(std::string &Input) {
  const std::size_t HeadEnd = Input.find("\r\n\r\n");
  if (HeadEnd == std::string::npos)
    return std::nullopt;
  StandinRunner::Request Result;
  std::istringstream Head(Input.substr(0, HeadEnd));
  std::string Line;
  std::getline(Head, Line);
  std::istringstream First(Line);
  First >> Result.m_Method >> Result.m_Target;
  while (std::getline(Head, Line)) {
    const std::size_t Colon = Line.find(':');
    std::string Value = Line.substr(Colon + 1);
    while (!Value.empty() && Value.back() == '\r')
      Value.pop_back();
    Result.m_Headers[lower(Line.substr(0, Colon))] =
        Value.substr(std::min(Value.find_first_not_of(' '), Value.size()));
  }
  const std::string Length = Result.header("content-length");
  const std::size_t Size = Length.empty() ? 0 : std::stoul(Length);
  const std::size_t Start = HeadEnd + 4;
  if (Input.size() < Start + Size)
    return std::nullopt;
  Result.m_Body = Input.substr(Start, Size);
  Input.erase(0, Start + Size);
  return Result;
}

} // namespace

std::string StandinRunner::Request::header(const std::string &Name) const {
  const auto Found = m_Headers.find(Name);
  return Found == m_Headers.end() ? "" : Found->second;
}

StandinRunner::Connection::~Connection() {
  if (m_Stream != nullptr)
    bufferevent_free(m_Stream);
}

void StandinRunner::Connection::write(const std::string &Bytes) {
  if (m_Stream != nullptr)
    bufferevent_write(m_Stream, Bytes.data(), Bytes.size());
}

void StandinRunner::Connection::close() {
  if (m_Stream == nullptr)
    return;
  m_Closing = true;
  // The end follows the bytes, not the other way round.
  evbuffer_unfreeze(bufferevent_get_output(m_Stream), 1);
  evbuffer_write(bufferevent_get_output(m_Stream), bufferevent_getfd(m_Stream));
  evbuffer_freeze(bufferevent_get_output(m_Stream), 1);
  shutdown(bufferevent_getfd(m_Stream), SHUT_WR);
}

void StandinRunner::Connection::closeFully() {
  close();
  if (m_Stream != nullptr)
    bufferevent_free(std::exchange(m_Stream, nullptr));
}

void StandinRunner::Connection::reset() {
  if (m_Stream == nullptr)
    return;
  const linger Now{.l_onoff = 1, .l_linger = 0};
  setsockopt(bufferevent_getfd(m_Stream), SOL_SOCKET, SO_LINGER, &Now,
             sizeof(Now));
  bufferevent_free(std::exchange(m_Stream, nullptr));
}

StandinRunner::StandinRunner(EventLoop &Loop, Behaviour OnRequest)
    : m_Loop(Loop), m_Behaviour(std::move(OnRequest)) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  m_Listener = evconnlistener_new_bind(
      Loop.base(),
      [](evconnlistener *, evutil_socket_t Socket, sockaddr *, int, void *Arg) {
        static_cast<StandinRunner *>(Arg)->accept(Socket);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
  socklen_t Length = sizeof(Address);
  getsockname(evconnlistener_get_fd(m_Listener),
              reinterpret_cast<sockaddr *>(&Address), &Length);
  m_Endpoint = {"127.0.0.1", ntohs(Address.sin_port)};
}

StandinRunner::~StandinRunner() { stopListening(); }

void StandinRunner::stopListening() {
  if (m_Listener != nullptr)
    evconnlistener_free(std::exchange(m_Listener, nullptr));
}

void StandinRunner::crash() {
  stopListening();
  for (const auto &[Stream, Each] : std::exchange(m_Connections, {}))
    Each->reset();
}

void StandinRunner::accept(int Socket) {
  ++m_Accepted;
  bufferevent *Stream =
      bufferevent_socket_new(m_Loop.base(), Socket, BEV_OPT_CLOSE_ON_FREE);
  m_Connections[Stream] = std::make_shared<Connection>(Stream);
  bufferevent_setcb(
      Stream,
      [](bufferevent *From, void *Arg) {
        auto *Self = static_cast<StandinRunner *>(Arg);
        Self->onReadable(*Self->m_Connections.at(From));
      },
      nullptr,
      [](bufferevent *Of, short What, void *Arg) {
        auto *Self = static_cast<StandinRunner *>(Arg);
        Self->onEvent(*Self->m_Connections.at(Of), What);
      },
      this);
  bufferevent_enable(Stream, EV_READ | EV_WRITE);
}

void StandinRunner::onReadable(Connection &From) {
  const ConnectionPtr Held = From.shared_from_this();
  evbuffer *Input = bufferevent_get_input(Held->m_Stream);
  std::string Bytes(evbuffer_get_length(Input), '\0');
  evbuffer_remove(Input, Bytes.data(), Bytes.size());
  if (!Held->m_TakesMore)
    return;
  Held->m_Input += Bytes;
  while (const auto Taken = takeRequest(Held->m_Input)) {
    m_Requests.push_back(*Taken);
    m_Behaviour(*Taken, Held);
    if (!Held->open() || !Held->m_TakesMore)
      return;
  }
}

void StandinRunner::onEvent(Connection &Of, short What) {
  if ((What & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
    return;
  const ConnectionPtr Held = Of.shared_from_this();
  m_ClosedByCaller += Held->m_Closing ? 0 : 1;
  m_Connections.erase(Held->m_Stream);
  bufferevent_free(std::exchange(Held->m_Stream, nullptr));
}

std::size_t StandinRunner::arrivals(const std::string &Id) const {
  return static_cast<std::size_t>(std::count_if(
      m_Requests.begin(), m_Requests.end(),
      [&](const Request &Each) { return Each.header("x-attempt-id") == Id; }));
}

std::string StandinRunner::answer(const Request &Of, int Status,
                                  const std::string &Body,
                                  const std::string &MoreHeaders) {
  return "HTTP/1.1 " + std::to_string(Status) +
         " Text\r\nX-Attempt-Id: " + Of.header("x-attempt-id") +
         "\r\nX-Server-Signature: signed\r\n" + MoreHeaders +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::string StandinRunner::streamHead(const Request &Of) {
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + Of.header("x-attempt-id") +
         "\r\nX-Server-Signature: signed\r\nContent-Type: text/event-stream"
         "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string StandinRunner::event(int Id) {
  const std::string Text = "id: " + std::to_string(Id) + "\ndata: piece-" +
                           std::to_string(Id) + "\n\n";
  char Size[16];
  std::snprintf(Size, sizeof(Size), "%zx\r\n", Text.size());
  return Size + Text + "\r\n";
}

} // namespace havenstair
