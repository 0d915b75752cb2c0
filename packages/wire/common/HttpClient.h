/// \file
/// HTTP requests towards upstreams and the platform, by evhttp.
#ifndef HAVENSTAIR_WIRE_COMMON_HTTPCLIENT_H
#define HAVENSTAIR_WIRE_COMMON_HTTPCLIENT_H

#include "decisions/common/Time.h"
#include "decisions/process/MemoryBudget.h"
#include "wire/common/Endpoint.h"
#include "wire/common/HttpMessage.h"
#include "wire/common/SharedBytes.h"
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace havenstair {

class EventLoop;
class KeptConnections;

/// How an exchange ended.
enum class HttpEnd {
  Complete,   ///< The whole answer was received, as its framing tells.
  Closed,     ///< The other side closed the connection in order, and the
              ///< answer has no other framing: whether it is whole, only its
              ///< content can tell.
  NotWritten, ///< No byte of the request left this process.
  Broken      ///< Bytes may have left; the answer is missing or cut.
};

/// Whether an answer that ended with \p End was received. One that its
/// connection ended may be cut: its reader must be able to tell by the body, or
/// need no body.
constexpr bool received(HttpEnd End) {
  return End == HttpEnd::Complete || End == HttpEnd::Closed;
}

/// Whether a call may use a kept connection, and leave one behind.
enum class ConnectionUse {
  Fresh,     ///< A new connection, closed afterwards.
  FreshKept, ///< A new connection, kept afterwards for other calls.
  Reused     ///< A kept connection where there is one, kept afterwards.
};

/// A request to send. By default its connection is new, so that no kept
/// connection that the other side just closed can swallow it.
struct HttpCall {
  Endpoint m_To;
  HttpMethod m_Method = HttpMethod::Get;
  std::string m_Target; ///< Path with query.
  HttpHeaders m_Headers;
  SharedBytes m_Body;
  ConnectionUse m_Use = ConnectionUse::Fresh;
  /// Longest time for a connection to come up; zero leaves it to the idle
  /// timeout.
  Duration m_ConnectTimeout = 0us;
  /// Longest silence of the other side before the call counts as broken.
  Duration m_IdleTimeout = 10s;
  /// Longest time for the whole call; zero leaves it to the owner, who cancels
  /// it. Silence alone does not end an answer that comes byte by byte.
  Duration m_TotalTimeout = 0us;
  std::size_t m_MaxBody = 16 << 20;

  /// Called when the system has taken the whole request.
  std::function<void()> m_OnWritten;
  std::function<void(int Status, const HttpHeaders &)> m_OnHead;
  std::function<void(std::string_view)> m_OnBytes;
  std::function<void(HttpEnd)> m_OnEnd;
};

/// A running call. Destroying it cancels the call: its connection is closed
/// and no callback runs any more.
class HttpCallHandle {
public:
  HttpCallHandle() = default;
  ~HttpCallHandle();
  HttpCallHandle(HttpCallHandle &&) noexcept;
  HttpCallHandle &operator=(HttpCallHandle &&) noexcept;

  /// Reads no more of the answer until resumeReading(). The other side is held
  /// up once the system's buffers are full; no timeout of the call runs.
  void pauseReading();
  void resumeReading();

private:
  friend class HttpClient;
  struct State;
  explicit HttpCallHandle(std::shared_ptr<State> Running);
  void cancel();
  std::shared_ptr<State> m_State;
};

/// Whole answer of a short call.
struct HttpAnswer {
  HttpEnd m_End = HttpEnd::Broken;
  int m_Status = 0;
  HttpHeaders m_Headers;
  std::string m_Body;

  bool received() const { return havenstair::received(m_End); }
  /// Whether it was received and is a success.
  bool ok() const { return received() && m_Status / 100 == 2; }
};

/// Sends calls on one loop.
class HttpClient {
public:
  /// Bound what is held of answers. The owner of a call charges what it keeps
  /// of the body itself.
  struct Memory {
    MemoryBudget m_Started;   ///< For calls of start().
    MemoryBudget m_Collected; ///< For calls whose answer is collected.
  };

  explicit HttpClient(EventLoop &Loop, Memory Bounds = {});
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  EventLoop &loop() { return m_Loop; }

  /// Starts \p Call; its callbacks run from the loop, never from here.
  [[nodiscard]] HttpCallHandle start(HttpCall Call);

  /// Starts \p Call, collects its answer and hands it to \p Done. The call
  /// runs on after this client's caller has forgotten it. Without a total
  /// timeout it ends as broken after some of its idle timeouts. An answer for
  /// which there is no memory is broken, too.
  void fetch(HttpCall Call, std::function<void(HttpAnswer)> Done);

  /// Like fetch(), but destroying what is returned cancels the call.
  [[nodiscard]] std::shared_ptr<void>
  fetchHeld(HttpCall Call, std::function<void(HttpAnswer)> Done);

  /// Closes the kept connections to \p To.
  void forget(const Endpoint &To);

private:
  friend class HttpCallHandle;

  HttpCallHandle start(HttpCall Call, const MemoryBudget &Memory);

  EventLoop &m_Loop;
  Memory m_Memory;
  std::shared_ptr<KeptConnections> m_Kept;
  using Fetches = std::map<std::uint64_t, HttpCallHandle>;
  std::shared_ptr<Fetches> m_Fetches = std::make_shared<Fetches>();
  std::uint64_t m_NextFetch = 0;
};

} // namespace havenstair

#endif
