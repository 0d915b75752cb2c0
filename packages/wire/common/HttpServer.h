/// \file
/// HTTP towards callers and operators, by evhttp.
#ifndef HAVENSTAIR_WIRE_COMMON_HTTPSERVER_H
#define HAVENSTAIR_WIRE_COMMON_HTTPSERVER_H

#include "wire/common/Endpoint.h"
#include "wire/common/EventLoop.h"
#include "wire/common/HttpClient.h"
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;
struct event;

namespace havenstair {

/// One request of a caller and the answer to it. Lives until the answer was
/// handed to evhttp, or the caller left and the owner let go of it.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
public:
  /// \p OpenCount is one higher while the exchange is open.
  HttpExchange(EventLoop &Loop, evhttp_request *Request,
               std::size_t MaxBuffered, std::shared_ptr<std::size_t> OpenCount);
  ~HttpExchange();
  HttpExchange(const HttpExchange &) = delete;
  HttpExchange &operator=(const HttpExchange &) = delete;

  /// Empty for a method that the server does not know.
  std::string method() const { return m_Method; }
  const std::string &path() const { return m_Path; }
  const std::string &query() const { return m_Query; }
  /// Value of the query parameter \p Name; empty when absent.
  std::string queryValue(const std::string &Name) const;
  std::string header(const std::string &Name) const;
  /// All header fields as they came.
  HttpHeaders headers() const;
  /// Path with query, byte for byte as it came.
  const std::string &target() const { return m_Target; }
  const std::string &body() const { return m_Body; }
  /// Whether the request's framing has one reading only. A request that does
  /// not must be answered with a closed connection, since what follows on the
  /// connection may be part of its body (RFC 9112, section 6.3).
  bool framedUnambiguously() const;

  /// Sends a whole answer. With the framing `Connection` it has no length, and
  /// its connection is closed after it.
  void reply(int Status, const HttpHeaders &Headers, std::string_view Body,
             AnswerFraming Framing = AnswerFraming::Length);
  /// Starts a streamed answer, with the framing `Chunks` or `Connection`. To an
  /// HTTP/1.0 caller it always is `Connection`. Until endStream() an answer of
  /// that framing ends by a reset, also when the process ends, since an orderly
  /// close would make it look whole. \returns the framing that it has.
  AnswerFraming startStream(int Status, const HttpHeaders &Headers,
                            AnswerFraming Framing = AnswerFraming::Chunks);
  /// Sends one piece. \returns false when the reader is too slow and its
  /// buffer is full; the stream must then be ended.
  bool sendChunk(std::string_view Bytes);
  void endStream();
  /// Closes the connection without a proper end, so that a cut answer cannot
  /// pass for a whole one.
  void abort();

  /// \p Left runs once if the caller leaves before the answer is complete.
  void onCallerLeft(std::function<void()> Left) { m_Left = std::move(Left); }
  bool open() const { return m_Request != nullptr; }
  bool streaming() const { return m_Streaming; }

private:
  friend class HttpServer;
  void watchClose();
  void onSocketEvent(int Socket, short What);
  /// \p Closing is the connection that evhttp is closing, or null.
  void callerLeft(evhttp_connection *Closing);
  void addHeaders(const HttpHeaders &Headers);
  void startUnframed(int Status);
  void closeConnection(evhttp_request *Request);
  void release();

  EventLoop &m_Loop;
  evhttp_request *m_Request;
  event *m_CloseEvent = nullptr;
  Timer m_NextLook; ///< Adds m_CloseEvent again.
  std::size_t m_MaxBuffered;
  std::shared_ptr<std::size_t> m_OpenCount;
  std::string m_Method;
  std::string m_Target;
  std::string m_Path;
  std::string m_Query;
  std::string m_Body;
  bool m_Streaming = false;
  bool m_Unframed = false; ///< Only an orderly close ends the answer.
  std::function<void()> m_Left;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

/// Listens on one address and hands each request to one handler.
class HttpServer {
public:
  struct Options {
    Endpoint m_Listen; ///< Port 0 takes any free port.
    std::size_t m_MaxBody = 1 << 20;
    std::size_t m_MaxHeaders = 16 << 10;
    /// Most bytes that wait for a slow reader.
    std::size_t m_MaxBuffered = 1 << 20;
    Duration m_IdleTimeout = 60s;
    /// Requests open at once; more are refused at once.
    std::size_t m_MaxOpen = 20000;
  };
  using Handler = std::function<void(const HttpExchangePtr &)>;
  /// Answers requests that the server turns away by itself.
  enum class Turned { BodyTooLarge, TooMany };
  using TurnedAway = std::function<void(const HttpExchangePtr &, Turned)>;

  /// \throws std::runtime_error when the address cannot be bound.
  HttpServer(EventLoop &Loop, Options Opts, Handler OnRequest,
             TurnedAway OnTurnedAway = nullptr);
  ~HttpServer();

  /// The bound address, with the real port.
  Endpoint endpoint() const { return m_Endpoint; }
  /// Stops to accept connections; open exchanges go on.
  void stopAccepting();
  /// Answers from now on ask the other side to close the connection.
  void closeAfterAnswers() { m_CloseAfterAnswers = true; }
  /// How long a connection may rest between requests, for new connections.
  void setIdleTimeout(Duration Timeout);
  std::size_t openExchanges() const { return *m_OpenCount; }

private:
  static void onRequest(evhttp_request *Request, void *Arg);
  void handle(const HttpExchangePtr &Exchange);

  EventLoop &m_Loop;
  Options m_Opts;
  Handler m_Handler;
  TurnedAway m_TurnedAway;
  evhttp *m_Http;
  evhttp_bound_socket *m_Socket = nullptr;
  bool m_CloseAfterAnswers = false;
  Endpoint m_Endpoint;
  std::shared_ptr<std::size_t> m_OpenCount = std::make_shared<std::size_t>(0);
};

} // namespace havenstair

#endif
