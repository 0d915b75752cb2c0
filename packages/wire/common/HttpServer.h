/// \file
/// HTTP towards callers and operators, by evhttp.
#ifndef HAVENSTAIR_WIRE_COMMON_HTTPSERVER_H
#define HAVENSTAIR_WIRE_COMMON_HTTPSERVER_H

#include "decisions/process/MemoryBudget.h"
#include "wire/common/Endpoint.h"
#include "wire/common/EventLoop.h"
#include "wire/common/HttpExchange.h"
#include "wire/common/InboundConnection.h"
#include "wire/common/ListenerPause.h"
#include "wire/common/PortListener.h"
#include <functional>
#include <map>
#include <memory>
#include <vector>

struct bufferevent;
struct event;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;
struct event_base;
struct evconnlistener;

namespace havenstair {

/// Listens on one address and hands each request to one handler.
class HttpServer {
public:
  struct Options {
    Endpoint m_Listen; ///< Port 0 takes any free port.
    InboundConnection::Limits m_Limits;
    /// Most bytes that wait for one slow reader.
    std::size_t m_MaxBuffered = 1 << 20;
    /// Requests open at once; more are refused at once.
    std::size_t m_MaxOpen = 20000;
    /// Bounds what is held for requests and their answers.
    MemoryBudget m_Memory;
    /// Told how it stands with the address; may be empty.
    PortListener::Reporter m_OnListening;
    /// Called for each connection that is accepted. Returns for how long to
    /// close further ones unread; zero for not at all. May be empty.
    std::function<Duration(TimePoint Now)> m_OnConnection;
    /// Told of each connection that is closed for a timeout; may be empty.
    std::function<void(const TimedOutConnection &)> m_OnTimeout;
    /// Called for each request but the first on a connection; may be empty.
    std::function<void(TimePoint Now)> m_OnFurtherRequest;
  };
  using Handler = std::function<void(const HttpExchangePtr &)>;
  using Turned = TurnedAway;
  /// Answers requests that the server turns away. Without, an answer has no
  /// body.
  using Refuser = std::function<void(const HttpExchangePtr &, Turned)>;

  /// Listens as soon as the address is free.
  /// \throws std::runtime_error when the address can never be bound.
  HttpServer(EventLoop &Loop, Options Opts, Handler OnRequest,
             Refuser OnTurnedAway = nullptr);
  ~HttpServer();

  /// The address, with the real port once it is bound.
  Endpoint endpoint() const { return m_Listener->endpoint(); }
  /// Whether the address is bound, or was until stopAccepting().
  bool listening() const { return m_Listener->listening(); }
  /// Stops to accept connections; open exchanges go on.
  void stopAccepting();
  /// Answers from now on ask the other side to close the connection.
  void closeAfterAnswers() { m_CloseAfterAnswers = true; }
  /// Puts limits into force, also on connections that are open.
  void setLimits(const InboundConnection::Limits &Limits);
  std::size_t openExchanges() const { return *m_OpenCount; }
  /// Number of connections that have been accepted.
  std::size_t accepted() const { return m_AcceptedCount; }
  /// Number of connections that were closed unread.
  std::size_t closedUnread() const { return m_Pause ? m_Pause->closed() : 0; }
  /// Number of connections that wait to be accepted.
  std::size_t waiting() const;
  /// Number of connections on which bytes of answers wait for their caller,
  /// without those whose caller has been silent for \p MaxSilence or longer.
  std::size_t unsentAnswers(Duration MaxSilence) const;

private:
  using ConnectionPtr = std::shared_ptr<InboundConnection>;

  void onListening(evconnlistener *Listener);
  static bufferevent *onAccepted(event_base *Base, void *Arg);
  static void onClosed(evhttp_connection *Closing, void *Arg);
  static void onRequest(evhttp_request *Request, void *Arg);
  static void watchAccepted(int Socket, short What, void *Arg);
  void noteAccepted();
  void onTimeout(bufferevent *Stream, const TimedOutConnection &Which);
  bool makeRoom(TimePoint Now);
  void handle(const HttpExchangePtr &Exchange, const InboundConnection &From);

  EventLoop &m_Loop;
  Options m_Opts;
  InboundConnection::Limits m_Limits;
  Handler m_Handler;
  Refuser m_TurnedAway;
  evhttp *m_Http;
  event *m_AcceptedEvent; ///< Handles m_Accepted.
  std::unique_ptr<PortListener> m_Listener;
  /// Null before the address is bound, and after stopAccepting().
  evhttp_bound_socket *m_Socket = nullptr;
  std::unique_ptr<ListenerPause> m_Pause; ///< Null before it is bound.
  bool m_CloseAfterAnswers = false;
  std::size_t m_AcceptedCount = 0;
  std::vector<ConnectionPtr> m_Accepted; ///< evhttp makes connections of them.
  std::map<evhttp_connection *, ConnectionPtr> m_Connections;
  std::shared_ptr<std::size_t> m_OpenCount = std::make_shared<std::size_t>(0);
};

} // namespace havenstair

#endif
