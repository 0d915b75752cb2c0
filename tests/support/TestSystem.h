/// \file
/// A whole system of separate processes on loopback, for tests and the demo.
#ifndef HAVENSTAIR_TESTS_SUPPORT_TESTSYSTEM_H
#define HAVENSTAIR_TESTS_SUPPORT_TESTSYSTEM_H

#include "support/ChildProcess.h"
#include "wire/common/EventLoop.h"
#include "wire/common/HttpClient.h"
#include "wire/common/Json.h"
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace havenstair {

/// Secret and token of every system under test.
inline const std::string TestPeerSecret = "a-secret-for-peers-in-tests";
inline const std::string TestOperatorToken = "a-token-for-operators-in-tests";

/// Sends requests and collects answers, many at a time.
class TestClient {
public:
  using Done = std::function<void(HttpAnswer)>;

  HttpAnswer call(const Endpoint &To, HttpMethod Method,
                  const std::string &Target, const std::string &Body = {},
                  const HttpHeaders &Headers = {});
  void start(const Endpoint &To, HttpMethod Method, const std::string &Target,
             const std::string &Body, const HttpHeaders &Headers,
             Done Callback);
  /// Runs the loop until \p Reached or the limit. \returns whether it was.
  bool runUntil(const std::function<bool()> &Reached, Duration Limit = 30s);
  EventLoop &loop() { return m_Loop; }
  HttpClient &http() { return m_Http; }

private:
  EventLoop m_Loop;
  HttpClient m_Http{m_Loop};
};

/// One box under test.
struct TestBox {
  std::unique_ptr<ChildProcess> m_Process;
  std::string m_Name;
  std::string m_DataCentre;
  Endpoint m_Callers;
  Endpoint m_Operators;
  Endpoint m_Peers;
};

/// One upstream under test.
struct TestUpstream {
  std::unique_ptr<ChildProcess> m_Process;
  Endpoint m_Address;
  Json m_Listed; ///< Its entry in the platform's list.
};

/// Platform, upstreams and boxes.
class TestSystem {
public:
  struct Options {
    std::string m_Programs; ///< Folder of the binaries.
    std::string m_LogFile;  ///< Standard error of all; empty drops it.
    std::vector<std::string> m_BoxArguments;
  };

  explicit TestSystem(Options Opts);

  void addEngine(const std::string &Name, const std::string &DataCentre,
                 bool ChecksTokens = true,
                 const std::vector<std::string> &More = {});
  void addService(const std::string &Name, const std::string &DataCentre,
                  const std::string &Service,
                  const std::vector<std::string> &More = {});
  TestBox &addBox(const std::string &Name, const std::string &DataCentre,
                  const std::vector<std::string> &More = {});
  /// Hands the platform the list of upstreams as it is now.
  void publishUpstreams();
  /// Marks an upstream as leaving in the platform's list.
  void setLeaving(const std::string &Upstream);

  TestBox &box(const std::string &Name) { return m_Boxes.at(Name); }
  TestUpstream &upstream(const std::string &Name) {
    return m_Upstreams.at(Name);
  }
  const Endpoint &platform() const { return m_PlatformAddress; }
  ChildProcess &platformProcess() { return *m_Platform; }
  TestClient &client() { return m_Client; }

  /// Sets a fault of the stand-in platform.
  void platformFault(const std::string &Fault, int Count = 0);
  /// A view of the operators' side; null when the box does not answer.
  Json admin(const std::string &Box, const std::string &Path);
  HttpAnswer adminSend(const std::string &Box, HttpMethod Method,
                       const std::string &Path, const Json &Body,
                       const HttpHeaders &Headers);
  /// Replaces the catalogue by models of the given sizes.
  void setModels(const std::string &Box,
                 const std::map<std::string, int> &Sizes);
  /// Adds a group that may call all of these; its key is "key-NAME".
  HttpAnswer addGroup(const std::string &Box, const std::string &Group,
                      const std::vector<std::string> &Models,
                      const std::vector<std::string> &Services,
                      const Json &More = Json::object());
  /// Waits until \p Box knows a copy of each model that serves.
  bool waitServing(const std::string &Box,
                   const std::vector<std::string> &Models,
                   Duration Limit = 30s);
  bool waitFor(const std::function<bool()> &Reached, Duration Limit = 30s);

  HttpAnswer complete(const std::string &Box, const std::string &Group,
                      const std::string &Model, const std::string &Prompt,
                      bool Stream, int Tokens = 8);
  HttpAnswer book(const std::string &Box, const std::string &Group,
                  const std::string &Key, const std::string &Body,
                  const std::string &Service = "booking");
  /// Runs the command line of operators. \returns its output.
  std::string commandLine(const std::string &Box,
                          const std::vector<std::string> &Arguments,
                          int &Status);

  static HttpHeaders callerHeaders(const std::string &Group);
  static std::string completionBody(const std::string &Model,
                                    const std::string &Prompt, bool Stream,
                                    int Tokens);

private:
  ChildProcess::Options program(const std::string &Name,
                                std::vector<std::string> Arguments) const;

  Options m_Opts;
  TestClient m_Client;
  std::unique_ptr<ChildProcess> m_Platform;
  Endpoint m_PlatformAddress;
  std::map<std::string, TestUpstream> m_Upstreams;
  std::map<std::string, TestBox> m_Boxes;
};

/// The texts of all tokens in a stream, joined; empty unless it ended with its
/// end mark.
std::string streamedText(const std::string &Body);
/// What the stand-in engine answers to \p Prompt.
std::string expectedText(const std::string &Prompt, int Tokens);

} // namespace havenstair

#endif
