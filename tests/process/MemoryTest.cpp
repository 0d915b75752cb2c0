#include "process/MemoryTest.h"

using namespace havenstair;

TEST_CASE("A burst of bodies at the limit ends no process, and small requests "
          "go on",
          "[process][memory]") {
  constexpr int Bodies = 80;
  constexpr int Small = 40;
  const int MemoryMb = GENERATE(160, 260);
  const std::string Kind = GENERATE(as<std::string>(), "safe", "unsafe");
  MemoryTest Test(MemoryMb);
  const SharedBytes Body(std::string(BodyBytes, 'b'));
  for (int Each = 0; Each < Bodies; ++Each)
    Test.post("/" + Kind + "/a", Body);
  for (int Each = 0; Each < Small; ++Each)
    Test.post("/small/a", "small");
  REQUIRE(Test.until([&] { return Test.answered("/small/a") == Small; }));
  CHECK(Test.answers("/small/a", 200) == Small);
  Test.answerAll();
  REQUIRE(
      Test.until([&] { return Test.answered("/" + Kind + "/a") == Bodies; }));
  CAPTURE(Test.mostMb());
  CHECK(Test.running());
  CHECK(Test.answers("/" + Kind + "/a", 200) +
            Test.answers("/" + Kind + "/a", 503) ==
        Bodies);
  CHECK(Test.answers("/" + Kind + "/a", 200) > 0);
  CHECK(Test.allTellWhen());
}

TEST_CASE("Large answers that come at once end no process",
          "[process][memory]") {
  constexpr int Requests = 60;
  MemoryTest Test(260);
  Test.answerWith(8 << 20);
  for (int Each = 0; Each < Requests; ++Each)
    Test.post("/unsafe/a", "small");
  Test.answerAll();
  REQUIRE(Test.until([&] { return Test.answered("/unsafe/a") == Requests; }));
  CAPTURE(Test.mostMb());
  CHECK(Test.running());
  CHECK(Test.answers("/unsafe/a", 200) > 0);
}
