/// \file
/// Two boxes, of which one reaches the upstreams through proxies.
#ifndef HAVENSTAIR_TESTS_GATEWAY_PARTITIONTEST_H
#define HAVENSTAIR_TESTS_GATEWAY_PARTITIONTEST_H

#include "gateway/GatewayTest.h"
#include "standin/LoopbackProxy.h"

namespace havenstair {

/// `m_Gateway` reaches each upstream through a proxy that can cut it off;
/// `m_Other` reaches them all.
class PartitionTest : public GatewayTest {
public:
  enum class Way {
    Refused, ///< Nothing listens, and open connections are reset.
    Reset    ///< New connections are reset, and the open ones once.
  };

  explicit PartitionTest(std::size_t Upstreams = 3) {
    m_SeenBy = [this](const BoxName &Box, UpstreamInstance Entry) {
      if (Box == BoxName("box"))
        Entry.m_Address = m_Proxies.at(Entry.m_Id)->endpoint().str();
      return Entry;
    };
    for (std::size_t Index = 1; Index <= Upstreams; ++Index)
      addProxied("i-" + std::to_string(Index));
    configure(1);
    startGateway();
    m_Other = startBox("other");
    REQUIRE(until([&] {
      return m_Gateway->peers() == 1 && m_Other->peers() == 1 &&
             m_Gateway->state().ready() && m_Other->state().ready();
    }));
  }

  void addProxied(const std::string &Id) {
    addRunner(Id, [](const Request &Received, const ConnectionPtr &To) {
      To->write(StandinRunner::answer(Received, 200, "body"));
    });
    m_Proxies[Id] = std::make_unique<LoopbackProxy>(
        m_Loop, Endpoint{"127.0.0.1", 0}, m_Runners.at(Id)->endpoint());
  }

  std::unique_ptr<Gateway> startBox(const std::string &Name) {
    GatewayOptions Options = options();
    Options.m_Box = BoxName(Name);
    return makeGateway(Options, [] {});
  }

  void cut(Way How) {
    for (auto &[Id, Proxy] : m_Proxies)
      if (How == Way::Refused)
        Proxy->setListening(false);
      else
        Proxy->setRefusing(true);
  }

  void heal() {
    for (auto &[Id, Proxy] : m_Proxies) {
      Proxy->setListening(true);
      Proxy->setRefusing(false);
    }
  }

  std::map<std::string, std::unique_ptr<LoopbackProxy>> m_Proxies;
  std::unique_ptr<Gateway> m_Other;
};

} // namespace havenstair

#endif
