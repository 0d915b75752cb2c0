/// \file
/// What a leaf does when its relay's messages about the list are wrong.
#include "gateway/GatewayTest.h"

#include "gateway/process/ListFingerprint.h"
#include "wire/process/PeerMesh.h"
#include <string>
#include <variant>
#include <vector>

using namespace havenstair;

namespace {

const std::string PeerSecret = "a-secret-for-peers-in-tests";
const BoxName RelayName("relay");
constexpr double RelayCapacity = 1;
constexpr double LeafCapacity = 0.1;

/// A relay whose messages the test makes.
class FalseRelay {
public:
  FalseRelay(EventLoop &Loop, const BoxName &Name)
      : m_Mesh(Loop,
               {.m_Listen = {"127.0.0.1", 0},
                .m_Link = {.m_Self = Name,
                           .m_DataCentre = DataCentreName("a"),
                           .m_Secret = PeerSecret},
                .m_Random = [] { return 0.5; }},
               {.m_Up = [this](const BoxName &Box,
                               const DataCentreName &) { m_Leaf = Box; },
                .m_Frame = [this](const BoxName &,
                                  const PeerFrame &Frame) { receive(Frame); },
                .m_Down = [](const BoxName &) {}}),
        m_Timer(Loop.every(100ms, [this] { sendDigest(); })) {}

  void sendKeys(FleetKeysFrame Frame) {
    Frame.m_Prefix = "servers/";
    Frame.m_Part = true;
    REQUIRE(m_Mesh.send(m_Leaf, EncodedFrame(Frame)) > 0);
  }

  PeerMesh m_Mesh;
  BoxName m_Leaf;
  StoreRevision m_List;            ///< Told in digests.
  std::uint64_t m_Fingerprint = 0; ///< Told in digests.
  int m_AskedForAll = 0;
  std::function<void()> m_OnAsked = [] {};

private:
  void sendDigest() {
    if (m_Leaf.empty() || m_List.none())
      return;
    FleetDigestFrame Frame;
    Frame.m_Number = ++m_Digests;
    Frame.m_Echo = m_Received;
    Frame.m_List = m_List;
    Frame.m_ListFingerprint = m_Fingerprint;
    Frame.m_ListAge = 0us;
    m_Mesh.send(m_Leaf, EncodedFrame(Frame));
  }

  void receive(const PeerFrame &Frame) {
    if (const auto *Digest = std::get_if<FleetDigestFrame>(&Frame))
      m_Received = Digest->m_Number;
    const auto *Wanted = std::get_if<FleetWantFrame>(&Frame);
    if (Wanted == nullptr || Wanted->m_List >= m_List)
      return;
    m_AskedForAll += Wanted->m_List.none() ? 1 : 0;
    m_OnAsked();
  }

  std::uint64_t m_Digests = 0;
  std::uint64_t m_Received = 0; ///< Number of the leaf's last digest.
  Timer m_Timer;
};

/// A leaf that is linked to a relay of the test's, in a fleet that is listed
/// only. The relay says nothing.
class SilentRelayTest : public GatewayTest {
public:
  SilentRelayTest() {
    for (const char *Id : {"i-1", "i-2"})
      addRunner(Id, [](const Request &, const ConnectionPtr &) {});
    configure(1);
    listBox(RelayName.str(), RelayCapacity, m_Relay.m_Mesh.endpoint().str());
    for (int Number = 0; Number < 20; ++Number)
      listBox("z" + std::to_string(Number), LeafCapacity, "127.0.0.1:9");
    GatewayOptions Options = options();
    Options.m_Box = BoxName("zz");
    Options.m_Capacity = LeafCapacity;
    Options.m_PeerSecret = PeerSecret;
    m_Gateway = makeGateway(Options, [] {});
    REQUIRE(until([&] { return m_Gateway->peers() == 1; }));
  }

  void listBox(const std::string &Name, double Capacity,
               const std::string &Peers) {
    m_Store.put("havenstair/box/" + Name,
                dumpJson({{"peers", Peers},
                          {"zone", "a"},
                          {"capacity", Capacity},
                          {"protocol", OwnProtocol}}));
  }

  FalseRelay m_Relay{m_Loop, RelayName};
};

/// The leaf follows that relay.
class FalseRelayTest : public SilentRelayTest {
public:
  FalseRelayTest() {
    // A revision that the store has not reached: none of its reads replace it.
    m_Relay.m_List = {.m_Era = FirstEra, .m_Number = 1000};
    m_Relay.m_OnAsked = [this] { m_Relay.sendKeys(wholePart()); };
    m_Relay.m_Fingerprint = fingerprint();
    REQUIRE(until([&] { return follows(); }));
  }

  FleetKeysFrame wholePart() const {
    FleetKeysFrame Result{.m_Prefix = "",
                          .m_Since = {},
                          .m_Revision = m_Relay.m_List,
                          .m_Part = true,
                          .m_Items = {},
                          .m_Gone = {}};
    for (const char *Id : {"i-1", "i-2"})
      Result.m_Items.push_back({.m_Key = std::string("servers/") + Id,
                                .m_Value = dumpJson(entry(Id, "ready")),
                                .m_Revision = m_ItemRevision});
    return Result;
  }

  std::uint64_t fingerprint() const {
    ListFingerprint Result;
    for (const StoredValue &Each : wholePart().m_Items)
      Result.add(Each.m_Key, Each.m_Revision);
    return Result.value();
  }

  /// Whether the leaf has what the relay sent, and reads nothing itself.
  bool follows() const {
    return !m_Gateway->watchesList() &&
           m_Gateway->state().m_Upstreams.list().m_Revision == m_Relay.m_List;
  }

  bool knows(const std::string &Id) const {
    return m_Gateway->state().m_Upstreams.list().m_Instances.contains(Id);
  }

  const StoreRevision m_ItemRevision{.m_Era = FirstEra, .m_Number = 5};
};

} // namespace

TEST_CASE("A leaf whose relay is none any more learns of other relays",
          "[gateway][fleet][recover]") {
  SilentRelayTest Test;
  // Whatever the leaf reads while it starts, it has read before.
  REQUIRE(Test.until([&] { return Test.m_Store.waitedOut("servers/") > 0; }));
  FalseRelay Next(Test.m_Loop, BoxName("relay-2"));
  Test.listBox("relay-2", RelayCapacity, Next.m_Mesh.endpoint().str());
  REQUIRE(Test.until([&] { return Test.m_Gateway->peers() == 2; }));
}

TEST_CASE("A leaf that lost keys gets them back though no entry changes",
          "[gateway][fleet][recover]") {
  FalseRelayTest Test;
  Test.m_Relay.m_OnAsked = [] {};
  // A difference that does not belong to what the leaf has.
  Test.m_Relay.sendKeys({.m_Prefix = "",
                         .m_Since = Test.m_Relay.m_List,
                         .m_Revision = {.m_Era = FirstEra, .m_Number = 1001},
                         .m_Part = true,
                         .m_Items = {},
                         .m_Gone = {"servers/i-2"}});
  REQUIRE(Test.until([&] { return !Test.knows("i-2"); }));
  Test.m_Relay.m_List.m_Number = 1001;
  const int Before = Test.m_Relay.m_AskedForAll;
  REQUIRE(Test.until([&] { return Test.m_Relay.m_AskedForAll > Before; }));
  Test.m_Relay.sendKeys(Test.wholePart());
  REQUIRE(Test.until([&] { return Test.knows("i-2"); }));
}

TEST_CASE("A leaf that is told that all upstreams are gone asks the store",
          "[gateway][fleet][recover]") {
  FalseRelayTest Test;
  const std::size_t Reads = Test.m_Store.reads("servers/");
  Test.m_Relay.m_OnAsked = [] {};
  FleetKeysFrame Nothing = Test.wholePart();
  Nothing.m_Items.clear();
  Nothing.m_Revision.m_Number = 1001;
  SECTION("by a whole copy") {}
  SECTION("by a difference") {
    Nothing.m_Since = Test.m_Relay.m_List;
    Nothing.m_Gone = {"servers/i-1", "servers/i-2"};
  }
  Test.m_Relay.sendKeys(Nothing);
  REQUIRE(Test.until([&] { return Test.m_Store.reads("servers/") > Reads; }));
  REQUIRE(Test.knows("i-1"));
  REQUIRE(Test.knows("i-2"));
}
