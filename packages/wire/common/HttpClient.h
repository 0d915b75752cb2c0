/// \file
/// HTTP requests towards upstreams and the platform, by evhttp.
#ifndef HAVENSTAIR_WIRE_COMMON_HTTPCLIENT_H
#define HAVENSTAIR_WIRE_COMMON_HTTPCLIENT_H

#include "decisions/common/Time.h"
#include "wire/common/Endpoint.h"
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace havenstair {

class EventLoop;

enum class HttpMethod { Get, Post, Put, Delete };

/// One header field.
struct HttpHeader {
  std::string m_Name;
  std::string m_Value;

  bool operator==(const HttpHeader &) const = default;
};
using HttpHeaders = std::vector<HttpHeader>;

/// Value of the field \p Name, by case-insensitive name; empty when absent.
std::string findHeader(const HttpHeaders &Headers, std::string_view Name);

/// How an exchange ended.
enum class HttpEnd {
  Complete,   ///< The whole answer was received.
  NotWritten, ///< No byte of the request left this process.
  Broken      ///< Bytes may have left; the answer is missing or cut.
};

/// A request to send. The connection is new for each call, so that no kept
/// connection that the other side just closed can swallow a request.
struct HttpCall {
  Endpoint m_To;
  HttpMethod m_Method = HttpMethod::Get;
  std::string m_Target; ///< Path with query.
  HttpHeaders m_Headers;
  std::string m_Body;
  /// Longest silence of the other side before the call counts as broken.
  Duration m_IdleTimeout = 10s;
  std::size_t m_MaxBody = 16 << 20;

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

  bool ok() const { return m_End == HttpEnd::Complete && m_Status / 100 == 2; }
};

/// Sends calls on one loop.
class HttpClient {
public:
  explicit HttpClient(EventLoop &Loop) : m_Loop(Loop) {}

  EventLoop &loop() { return m_Loop; }

  /// Starts \p Call; its callbacks run from the loop, never from here.
  [[nodiscard]] HttpCallHandle start(HttpCall Call);

  /// Starts \p Call, collects its answer and hands it to \p Done. The call
  /// runs on after this client's caller has forgotten it.
  void fetch(HttpCall Call, std::function<void(HttpAnswer)> Done);

private:
  EventLoop &m_Loop;
  std::map<std::uint64_t, HttpCallHandle> m_Fetches;
  std::uint64_t m_NextFetch = 0;
};

} // namespace havenstair

#endif
