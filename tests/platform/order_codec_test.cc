#include "platform/order_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "base/result_code.h"
#include "configuration/configuration_check.h"
#include "configuration/credential.h"

namespace quetzal::platform {
namespace {

constexpr char kOrder[] =
    R"({"version":"0000001c","baseVersion":"0000000a","extra":true,)"
    R"("routes":[{"name":"r-b","host":"Ficu95.example","pathPrefix":"/b/","kind":"safe",)"
    R"("timeoutS":0.8,"sloS":0.3,"priority":2,"attempts":2,)"
    R"("split":[{"service":"desk","weight":90},{"service":"stock","weight":0.5}]},)"
    R"({"name":"r-a","host":"ficu95.example","pathPrefix":"/a/","kind":"unsafe",)"
    R"("timeoutS":1,"sloS":0.4,"priority":1,"attempts":3,"service":"desk"}],)"
    R"("services":[{"name":"stock","healthPath":"/h","maxConns":110,"protocol":"h1",)"
    R"("tls":false},{"name":"desk","healthPath":"/h","maxConns":130}],)"
    R"("limits":{"maxHeaderBytes":16384}})";

/// kOrder with `from` replaced.
std::string With(const std::string& from, const std::string& to) {
  std::string text = kOrder;
  const std::size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

std::string FaultsOf(const std::string& body) {
  try {
    DecodeOrder(body);
  } catch (const Error& error) {
    EXPECT_EQ(error.code(), ResultCode::kRequestMalformed);
    return error.what();
  }
  return "";
}

TEST(OrderCodecTest, AnOrderBecomesAConfigurationSortedByName) {
  const ConfigurationOrder order = DecodeOrder(kOrder);
  EXPECT_EQ(order.number, 0x1cU);
  EXPECT_EQ(order.base, 0xaU);
  EXPECT_EQ(order.document, kOrder);
  ASSERT_EQ(order.configuration.routes_size(), 2);
  const Route& route_a = order.configuration.routes(0);
  EXPECT_EQ(route_a.name(), "r-a");
  EXPECT_FALSE(route_a.idempotent());
  EXPECT_TRUE(route_a.keyless());
  EXPECT_TRUE(route_a.fixed_shares());
  EXPECT_EQ(route_a.timeout_ms(), 1000U);
  EXPECT_EQ(route_a.objective_ms(), 400U);
  EXPECT_EQ(route_a.attempts(), 3U);
  EXPECT_EQ(route_a.priority(), 1U);
  const Route& route_b = order.configuration.routes(1);
  EXPECT_EQ(route_b.host(), "ficu95.example");
  EXPECT_TRUE(route_b.idempotent());
  EXPECT_EQ(route_b.targets(0).weight(), 9000U);
  EXPECT_EQ(route_b.targets(1).weight(), 50U);
  EXPECT_EQ(order.configuration.services(0).name(), "desk");
  EXPECT_EQ(order.configuration.services(0).connections(), 130U);
  EXPECT_NO_THROW(CheckConfiguration(order.configuration));
}

TEST(OrderCodecTest, TimesOfARouteAreOptional) {
  const ConfigurationOrder order = DecodeOrder(With(R"("timeoutS":1,"sloS":0.4,)", ""));
  EXPECT_EQ(order.configuration.routes(0).objective_ms(), 0U);
  EXPECT_NO_THROW(CheckConfiguration(order.configuration));
}

TEST(OrderCodecTest, AllFaultsAreReportedAtOnce) {
  const std::string faults = FaultsOf(
      R"({"version":"1","routes":[{"name":"r","host":"","kind":"odd","attempts":0}],)"
      R"("services":7})");
  EXPECT_EQ(faults,
            "version is not a version of eight hexadecimal digits; "
            "baseVersion is missing; baseVersion is not a version of eight hexadecimal "
            "digits; services is not a list; route: host is not a string or is empty; "
            "route: pathPrefix is missing; route: kind 'odd' is unknown; "
            "route: attempts is not a whole number from 1 to 100; "
            "route: service is missing");
}

/// kOrder with these tenants.
std::string WithTenants(const std::string& tenants) {
  return With(R"("services":)", R"("tenants":)" + tenants + R"(,"services":)");
}

TEST(OrderCodecTest, TenantsBecomeTeamsThatHoldDigests) {
  const ConfigurationOrder order = DecodeOrder(WithTenants(
      R"([{"name":"soria","apiKeys":["k-2","k-1","k-2"],"priority":2,"ratePerS":31.5,)"
      R"("burst":12},{"name":"rioja","apiKeys":[]}])"));
  ASSERT_EQ(order.configuration.teams_size(), 2);
  const Team& rioja = order.configuration.teams(0);
  EXPECT_EQ(rioja.name(), "rioja");
  EXPECT_EQ(rioja.credential_digests_size(), 0);
  EXPECT_FALSE(rioja.has_priority());
  EXPECT_EQ(rioja.requests_per_second(), 0);
  const Team& soria = order.configuration.teams(1);
  EXPECT_EQ(soria.priority(), 2U);
  EXPECT_EQ(soria.requests_per_second(), 31.5);
  EXPECT_EQ(soria.burst(), 12);
  ASSERT_EQ(soria.credential_digests_size(), 2);
  EXPECT_NO_THROW(CheckConfiguration(order.configuration));
  EXPECT_EQ(order.configuration.SerializeAsString().find("k-1"), std::string::npos)
      << "nodes must get digests only";
  EXPECT_NE(order.configuration.SerializeAsString().find(CredentialDigest("k-1")),
            std::string::npos);
}

TEST(OrderCodecTest, ARouteMayBePublic) {
  const ConfigurationOrder order =
      DecodeOrder(With(R"("name":"r-a",)", R"("name":"r-a","public":true,)"));
  EXPECT_TRUE(order.configuration.routes(0).is_public());
  EXPECT_FALSE(order.configuration.routes(1).is_public());
}

// Guards against a key that reaches an operator's terminal or an event with the fault.
TEST(OrderCodecTest, FaultsInTenantsAreStatedWithoutAKey) {
  for (const char* tenants :
       {R"({"k-secret":1})", R"([{"name":"rioja"}])",
        R"([{"name":"rioja","apiKeys":"k-secret"}])",
        R"([{"name":"rioja","apiKeys":["k-secret two"]}])",
        R"([{"name":"rioja","apiKeys":["k-secret","k-secret\u00e9"]}])",
        R"([{"name":"rioja","apiKeys":["k-secret",""]}])",
        R"([{"name":"rioja","apiKeys":["k-secret"],"priority":10}])",
        R"([{"name":"rioja","apiKeys":["k-secret"],"ratePerS":"9"}])",
        R"([{"apiKeys":["k-secret"]}])"}) {
    const std::string faults = FaultsOf(WithTenants(tenants));
    EXPECT_NE(faults, "") << tenants;
    EXPECT_EQ(faults.find("k-secret"), std::string::npos) << faults;
  }
}

TEST(OrderCodecTest, TenantsThatBreakARuleAreRefusedByTheCheck) {
  for (const char* tenants :
       {R"([{"name":"rioja","apiKeys":["k-secret"],"ratePerS":-1}])",
        R"([{"name":"rioja","apiKeys":["k-secret"],"burst":-0.5}])",
        R"([{"name":"Rioja!","apiKeys":["k-secret"]}])",
        R"([{"name":"rioja","apiKeys":["a"]},{"name":"rioja","apiKeys":["b"]}])",
        R"([{"name":"rioja","apiKeys":["a"]},{"name":"soria","apiKeys":["b","a"]}])"}) {
    EXPECT_THROW(CheckConfiguration(DecodeOrder(WithTenants(tenants)).configuration),
                 Error)
        << tenants;
  }
}

TEST(OrderCodecTest, WrongFieldsAreRefused) {
  for (const std::string& body : {With(R"("weight":90)", R"("weight":-1)"),
                                  With(R"("weight":90)", R"("weight":"9")"),
                                  With(R"("timeoutS":1)", R"("timeoutS":-1)"),
                                  With(R"("timeoutS":1)", R"("timeoutS":"1")"),
                                  With(R"("attempts":3)", R"("attempts":0)"),
                                  With(R"("attempts":3)", R"("attempts":1.5)"),
                                  With(R"("kind":"unsafe")", R"("kind":"Unsafe")"),
                                  With(R"("version":"0000001c")", R"("version":28)"),
                                  With(R"("priority":1)", R"("priority":-1)"),
                                  With(R"("name":"r-a",)", R"("name":"r-a","public":1,)"),
                                  std::string("[]"), std::string()}) {
    EXPECT_NE(FaultsOf(body), "") << body;
  }
}

TEST(OrderCodecTest, ABodyThatIsCutShortIsRefused) {
  const std::string whole = kOrder;
  for (std::size_t n = 0; n < whole.size(); ++n) {
    EXPECT_NE(FaultsOf(whole.substr(0, n)), "") << n;
  }
}

// Guards against an order whose nesting or numbers end the process.
TEST(OrderCodecTest, DeepNestingAndLargeNumbersAreRefused) {
  const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
  std::string objects;
  for (int n = 0; n < 100'000; ++n) objects += R"({"routes":)";
  const std::string head = R"({"version":"00000007","baseVersion":"00000005",)";
  for (const std::string& odd : {
           deep,
           objects,
           objects + "1" + std::string(100'000, '}'),
           head + R"("services":[],"routes":)" + deep + "}",
           head + R"("services":)" + deep + R"(,"routes":[]})",
           head + R"("services":[{"name":"a","maxConns":1e999}],"routes":[]})",
           head + R"("services":[{"name":"a","maxConns":18446744073709551616}],)" +
               R"("routes":[]})",
           head + R"("services":[{"name":"a","maxConns":-1}],"routes":[]})",
       }) {
    EXPECT_THROW(DecodeOrder(odd), Error) << odd.substr(0, 120);
  }
  const std::string unread = head + R"("services":[],"routes":[],"x":)" + deep + "}";
  EXPECT_EQ(DecodeOrder(unread).document, unread);
}

TEST(OrderCodecTest, ArbitraryBytesDecodeOrAreMalformed) {
  EXPECT_TRUE(rc::check([](const std::string& bytes) { FaultsOf(bytes); }));
  EXPECT_TRUE(rc::check([] {
    std::string text = kOrder;
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    text[at] = *rc::gen::arbitrary<char>();
    FaultsOf(text);
  }));
}

}  // namespace
}  // namespace quetzal::platform
