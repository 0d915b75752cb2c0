/// \file
/// What a box that has just started tells others.
#include "gateway/GatewayTest.h"

#include "wire/process/PeerMesh.h"
#include <optional>
#include <string>
#include <variant>

using namespace havenstair;

namespace {

const std::string PeerSecret = "a-secret-for-peers-in-tests";
const BoxName AskerName("zz");

/// A box whose messages the test makes.
class Asker {
public:
  explicit Asker(EventLoop &Loop)
      : m_Mesh(Loop,
               {.m_Listen = {"127.0.0.1", 0},
                .m_Link = {.m_Self = AskerName,
                           .m_DataCentre = DataCentreName("a"),
                           .m_Secret = PeerSecret},
                .m_Random = [] { return 0.5; }},
               {.m_Up = [this](const BoxName &Box,
                               const DataCentreName &) { m_Box = Box; },
                .m_Frame =
                    [this](const BoxName &, const PeerFrame &Frame) {
                      if (const auto *Told =
                              std::get_if<StreamAnswerFrame>(&Frame))
                        m_Told = *Told;
                    },
                .m_Down = [](const BoxName &) {}}) {}

  PeerMesh m_Mesh;
  BoxName m_Box; ///< The box that is asked, once linked.
  std::optional<StreamAnswerFrame> m_Told;
};

/// A box beside the asker; one upstream of version v1 is listed.
class YoungBoxTest : public GatewayTest {
public:
  YoungBoxTest() {
    m_FirstStart = false;
    addRunner("i-1", [](const Request &, const ConnectionPtr &) {});
    configure(1);
    m_Store.put("havenstair/box/" + AskerName.str(),
                dumpJson({{"peers", m_Asker.m_Mesh.endpoint().str()},
                          {"zone", "a"},
                          {"capacity", 1},
                          {"protocol", OwnProtocol}}));
  }

  void start() {
    GatewayOptions Options = options();
    Options.m_Box = BoxName("box");
    Options.m_PeerSecret = PeerSecret;
    m_Gateway = makeGateway(Options, [] {});
    REQUIRE(until([&] {
      return m_Gateway->state().ready() && !m_Asker.m_Box.empty() &&
             m_Store.reads("havenstair/software/") > 0;
    }));
    // The answer to that read is on its way.
    wait(100ms);
  }

  /// What the box tells of a stream that it does not know.
  StreamAnswerFrame ask() {
    const StreamQueryFrame Query{
        .m_Id = 1, .m_Attempt = "never-seen", .m_Service = "s"};
    REQUIRE(m_Asker.m_Mesh.send(m_Asker.m_Box, EncodedFrame(Query)) > 0);
    REQUIRE(until([&] { return m_Asker.m_Told.has_value(); }));
    return *m_Asker.m_Told;
  }

  Asker m_Asker{m_Loop};
};

} // namespace

// A leaf took one listed version, of which a relay that had just started told
// it, for the only one there had been.
TEST_CASE("A box that may lack versions tells others of no only one",
          "[gateway][stream-version]") {
  YoungBoxTest Test;
  Test.m_Store.put("havenstair/software/s", R"({"era":1,"versions":["v1"]})");
  SECTION("a box of an earlier build has marked the service") {
    Test.m_Store.put("havenstair/versions/s", "{}");
    Test.start();
    REQUIRE_FALSE(Test.ask().m_Only);
  }
  SECTION("nothing is lacking") {
    Test.start();
    REQUIRE(Test.ask().m_Only == SoftwareVersion("v1"));
  }
}
