/// \file
/// One request of a caller and its answer, by evhttp.
#ifndef HAVENSTAIR_WIRE_COMMON_HTTPEXCHANGE_H
#define HAVENSTAIR_WIRE_COMMON_HTTPEXCHANGE_H

#include "decisions/process/MemoryBudget.h"
#include "wire/common/EventLoop.h"
#include "wire/common/HttpClient.h"
#include "wire/common/SharedBytes.h"
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct evhttp_connection;
struct evhttp_request;
struct evhttp_uri;
struct event;

namespace havenstair {

class InboundConnection;

/// One request of a caller and the answer to it. Lives until the answer was
/// handed to evhttp, or the caller left and the owner let go of it.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
public:
  struct Options {
    /// Most bytes that wait for a slow reader.
    std::size_t m_MaxBuffered = 1 << 20;
    /// One higher while the exchange is open.
    std::shared_ptr<std::size_t> m_OpenCount;
    /// Charged for what waits for a slow reader.
    MemoryCharge m_Unread;
  };
  /// \p From is the connection of \p Request.
  HttpExchange(EventLoop &Loop, evhttp_request *Request,
               const std::shared_ptr<InboundConnection> &From, Options Opts);
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
  const std::string &body() const { return m_Body.str(); }
  const SharedBytes &sharedBody() const { return m_Body; }
  /// Frees the body, which is empty from now on.
  void dropBody() { m_Body = {}; }
  /// Whether the request's framing has one reading only. A request that does
  /// not must be answered with a closed connection, since what follows on the
  /// connection may be part of its body (RFC 9112, section 6.3).
  bool framedUnambiguously() const { return m_Unambiguous; }

  /// Sends a whole answer. With the framing `Connection` it has no length, and
  /// its connection is closed after it.
  void reply(int Status, const HttpHeaders &Headers, SharedBytes Body,
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
  void readTarget(const evhttp_uri *Parsed);
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
  Options m_Opts;
  std::weak_ptr<InboundConnection> m_From;
  std::string m_Method;
  std::string m_Target;
  std::string m_Path;
  std::string m_Query;
  SharedBytes m_Body;
  bool m_Unambiguous;
  bool m_Streaming = false;
  bool m_Unframed = false; ///< Only an orderly close ends the answer.
  std::function<void()> m_Left;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

} // namespace havenstair

#endif
