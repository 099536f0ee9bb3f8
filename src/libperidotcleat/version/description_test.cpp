#include "peridotcleat/description.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>

#include "testing/table_source.h"

namespace peridotcleat {
namespace {

using testing::next_revision;

std::string read_example(const std::string& name)
{
    const std::ifstream file(std::string(PERIDOTCLEAT_EXAMPLES) + "/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return std::move(text).str();
}

// Returns a random service. Services of different numbers have no address in common.
wire::service_entry arbitrary_service(std::size_t number)
{
    const auto arbitrary_in = [](value_range r) {
        return static_cast<std::int32_t>(*rc::gen::inRange<std::int64_t>(r.lowest, r.highest + 1));
    };
    auto s = testing::make_service("service." + std::to_string(number), {});
    const auto count = *rc::gen::inRange<std::uint32_t>(1, 4);
    for (std::uint32_t i = 0; i < count; ++i) {
        s.addresses.push_back(to_wire(
            endpoint{0x7f000001U + static_cast<std::uint32_t>(number), static_cast<std::uint16_t>(i + 1)}));
    }
    if (*rc::gen::arbitrary<bool>()) {
        s.__set_idle_timeout_ms(arbitrary_in(idle_timeout_range));
        s.__set_queue_per_slot(arbitrary_in(queue_per_slot_range));
    }
    if (*rc::gen::arbitrary<bool>()) {
        s.__set_ramp_ms(arbitrary_in(ramp_range));
        s.__set_retry_percent(arbitrary_in(retry_percent_range));
        s.__set_placement(arbitrary_in({0, 1}));
    }
    return s;
}

std::vector<wire::service_entry> arbitrary_services()
{
    std::vector<wire::service_entry> list;
    for (std::size_t number = 0; number < 8; ++number) {
        if (*rc::gen::arbitrary<bool>()) {
            list.push_back(arbitrary_service(number));
        }
    }
    return list;
}

// Guards against settings that are lost or changed between the file, the patch and the table, and against
// plans that the table refuses or that do not lead to the desired description.
RC_GTEST_PROP(description, applying_a_plan_gives_the_desired_description, ())
{
    table_state table;
    std::int64_t time_ms = 0;
    for (int round = 0; round < 3; ++round) {
        const auto desired = arbitrary_services();
        const auto plan = plan_patch(table, desired, "round-" + std::to_string(round));
        if (has_value(plan)) {
            const auto parsed = parse_patch(print_patch(value(plan)));
            RC_ASSERT(has_value(parsed));
            RC_ASSERT(value(parsed) == value(plan));
            wire::change c;
            c.time_ms = time_ms += 100'000;
            c.__set_new_patch(value(parsed));
            RC_ASSERT(table.apply(next_revision(table), c).patch->status == patch_status::accepted);
        } else {
            RC_ASSERT(failure(plan).code == error_code::patch_empty);
        }
        const auto described = parse_description(print_description(table));
        RC_ASSERT(has_value(described));
        RC_ASSERT(value(described).size() == desired.size());
        const auto remaining_plan = plan_patch(table, desired, "rest");
        RC_ASSERT(!has_value(remaining_plan));
        RC_ASSERT(failure(remaining_plan).code == error_code::patch_empty);
    }
}

// Returns `text` with one random fault: cut off, bytes removed, duplicated or changed, or a JSON fragment
// inserted.
std::string mutate(std::string text, std::mt19937_64& random)
{
    static constexpr std::array fragments{"{",
                                          "}",
                                          "[",
                                          "]",
                                          ",",
                                          ":",
                                          "\"",
                                          "null",
                                          "true",
                                          "-1",
                                          "1e99",
                                          "0.5",
                                          "\"name\"",
                                          "\\u00",
                                          "\\ud800",
                                          "\xff",
                                          "\n",
                                          "[[[[[",
                                          "//",
                                          "/*x*/",
                                          "99999999999999999999999",
                                          "-9223372036854775809"};
    const std::size_t position = text.empty() ? 0 : random() % text.size();
    const std::size_t length = random() % 12;
    switch (random() % 5) {
    case 0: return text.substr(0, position);
    case 1: return text.erase(position, length);
    case 2: return text.insert(position, text.substr(random() % (position + 1), length * 4));
    case 3: return text.insert(position, fragments.at(random() % fragments.size()));
    default:
        if (!text.empty()) {
            text[position] = static_cast<char>(random());
        }
        return text;
    }
}

bool is_description_error(const error& e)
{
    const auto number = static_cast<int>(e.code);
    return ((number >= 400 && number < 500) || e.code == error_code::table_full) && !e.message.empty();
}

// Guards against crashes, hangs and exceptions on corrupted files of operators, and against patches that are
// accepted but have another meaning after they are printed and parsed again.
TEST(description, corrupted_files_give_an_error_or_a_valid_result)
{
    const std::string services = read_example("lua-sertaneja/services.json");
    const std::string patch =
        R"({"patch_id":"p","base":3,"operations":[{"remove":"x"},{"add":{"name":"a","addresses":)"
        R"(["127.0.0.1:80"],"ramp_ms":1}},{"change":{"name":"b","addresses":["127.0.0.1:81"]}}]})";
    std::size_t accepted = 0;
    for (std::uint64_t seed = 1; seed <= testing::seed_count(40); ++seed) {
        std::mt19937_64 random(seed);
        for (int i = 0; i < 100; ++i) {
            std::string text = i % 2 == 0 ? services : patch;
            for (auto faults = 1 + random() % 3; faults > 0; --faults) {
                text = mutate(std::move(text), random);
            }
            const auto d = parse_description(text);
            ASSERT_TRUE(has_value(d) || is_description_error(failure(d))) << text;
            const auto p = parse_patch(text);
            ASSERT_TRUE(has_value(p) || is_description_error(failure(p))) << text;
            if (has_value(p)) {
                ++accepted;
                ASSERT_EQ(value(p), value(parse_patch(print_patch(value(p))))) << text;
            }
        }
    }
    EXPECT_GT(accepted, 0U);
}

// Guards against crashes and exceptions on arbitrary text, and against text that is accepted by mistake.
RC_GTEST_PROP(description, any_text_gives_an_error, (const std::string& text))
{
    const auto d = parse_description(text);
    RC_ASSERT(!has_value(d) && is_description_error(failure(d)));
    const auto p = parse_patch(text);
    RC_ASSERT(!has_value(p) && is_description_error(failure(p)));
}

struct refused_file {
    std::string text;
    error_code code;
    std::string message_prefix;
};

std::string service_file(const std::string& fields)
{
    return R"({"services":[{"name":"a",)" + fields + "}]}";
}

// Guards against error messages that do not say which field is invalid.
TEST(description, errors_name_the_field)
{
    using enum error_code;
    const std::string entry = R"({"name":"a","addresses":["127.0.0.1:80"]})";
    const std::string address_field = R"("addresses":["127.0.0.1:80"])";
    const std::vector<refused_file> files{
        {"", description_malformed, "not JSON"},
        {"[]", description_malformed, "must be an object"},
        {R"({"services":[]} x)", description_malformed, "not JSON"},
        {R"({"services":[],"x":1})", description_unknown_field, "x: "},
        {"{}", description_malformed, "services: "},
        {R"({"services":{}})", description_malformed, "services: "},
        {R"({"services":[1]})", description_malformed, "services[0]: "},
        {R"({"services":[{}]})", description_malformed, "services[0].name: "},
        {service_file(R"("addresses":[],"x":1)"), description_unknown_field, "services[0].x: "},
        {service_file(R"("name":"b",)" + address_field), description_malformed,
         "services[0].name: appears twice"},
        {service_file(R"("addresses":[])"), description_invalid_value, "services[0].addresses: "},
        {service_file(R"("addresses":["127.0.0.1:80",7])"), description_malformed,
         "services[0].addresses[1]: "},
        {service_file(R"("addresses":["127.0.0.256:80"])"), description_invalid_value,
         "services[0].addresses[0]: "},
        {service_file(R"("addresses":["127.0.0.1"])"), description_invalid_value,
         "services[0].addresses[0]: "},
        {service_file(R"("addresses":["0.0.0.0:80"])"), description_invalid_value,
         "services[0].addresses[0]: "},
        {service_file(R"("addresses":["224.0.0.1:80"])"), description_invalid_value,
         "services[0].addresses[0]: "},
        {service_file(R"("addresses":["127.0.0.1:80","127.0.0.1:80"])"), address_overlap,
         "services[0].addresses[1]: "},
        {service_file(address_field + R"(,"idle_timeout_ms":999)"), description_invalid_value,
         "services[0].idle_timeout_ms: "},
        {service_file(address_field + R"(,"queue_per_slot":-1)"), description_invalid_value,
         "services[0].queue_per_slot: "},
        {service_file(address_field + R"(,"ramp_ms":99999999999999999999)"), description_malformed, ""},
        {service_file(address_field + R"(,"ramp_ms":18446744073709551615)"), description_invalid_value,
         "services[0].ramp_ms: "},
        {service_file(address_field + R"(,"ramp_ms":1.5)"), description_malformed, "services[0].ramp_ms: "},
        {service_file(address_field + R"(,"ramp_ms":true)"), description_malformed, "services[0].ramp_ms: "},
        {service_file(address_field + R"(,"ramp_ms":"1")"), description_malformed, "services[0].ramp_ms: "},
        {service_file(address_field + R"(,"ramp_ms":null)"), description_malformed, "services[0].ramp_ms: "},
        {service_file(address_field + R"(,"retry_percent":101)"), description_invalid_value,
         "services[0].retry_percent: "},
        {service_file(address_field + R"(,"placement":"any")"), description_invalid_value,
         "services[0].placement: "},
        {R"({"services":[)" + entry + "," + entry + "]}", service_exists, "services[1].name: "},
        {R"({"services":[)" + entry + R"(,{"name":"b",)" + address_field + "}]}", address_overlap,
         "services[1].addresses[0]: "},
        {R"({"services":[{"name":"a b",)" + address_field + "}]}", description_invalid_value,
         "services[0].name: "},
        {std::string(max_description_size + 1, ' '), patch_too_large, "the text has"},
        {std::string(max_description_size, '['), description_malformed, "not JSON"},
    };
    for (const refused_file& f : files) {
        const auto r = parse_description(f.text);
        ASSERT_FALSE(has_value(r)) << f.text;
        EXPECT_EQ(failure(r).code, f.code) << f.text << "\n" << failure(r).message;
        EXPECT_EQ(failure(r).message.substr(0, f.message_prefix.size()), f.message_prefix) << f.text;
    }
    const auto patch = [](const std::string& operations) {
        return R"({"patch_id":"p","base":0,"operations":[)" + operations + "]}";
    };
    std::string many = R"({"remove":"a"})";
    for (int i = 0; i < 256; ++i) {
        many += R"(,{"remove":"a"})";
    }
    const std::vector<refused_file> patches{
        {patch(""), patch_empty, "operations: "},
        {patch(many), patch_too_large, "operations: "},
        {patch("{}"), description_malformed, "operations[0]: "},
        {patch(R"({"remove":"a","add":)" + entry + "}"), description_malformed, "operations[0]: "},
        {patch(R"({"rename":"a"})"), description_unknown_field, "operations[0].rename: "},
        {patch(R"({"remove":{}})"), description_malformed, "operations[0].remove: "},
        {patch(R"({"add":{"name":"a","addresses":["x"]}})"), description_invalid_value,
         "operations[0].add.addresses[0]: "},
        {R"({"patch_id":"","base":0,"operations":[]})", description_invalid_value, "patch_id: "},
        {R"({"patch_id":"p","base":-1,"operations":[]})", description_invalid_value, "base: "},
        {R"({"patch_id":"p","operations":[]})", description_malformed, "base: "},
    };
    for (const refused_file& f : patches) {
        const auto r = parse_patch(f.text);
        ASSERT_FALSE(has_value(r)) << f.text;
        EXPECT_EQ(failure(r).code, f.code) << f.text << "\n" << failure(r).message;
        EXPECT_EQ(failure(r).message.substr(0, f.message_prefix.size()), f.message_prefix) << f.text;
    }
}

// Guards against examples that the program does not accept or that do not match the deployment.
TEST(description, examples_load)
{
    struct expectation {
        std::string file;
        std::array<std::string, 2> names;
        placement_rule first_placement;
    };
    const std::array examples{expectation{"lua-sertaneja/services.json",
                                          {"calendar-sync", "chart-rendering"},
                                          placement_rule::owner_only},
                              expectation{"nkabom/services.json",
                                          {"alerts-and-readings", "schedule-distribution"},
                                          placement_rule::two_candidates}};
    for (const auto& example : examples) {
        const auto services = parse_description(read_example(example.file));
        ASSERT_TRUE(has_value(services)) << failure(services).message;
        ASSERT_EQ(value(services).size(), 2U);
        EXPECT_EQ(value(services)[0].name, example.names[0]);
        EXPECT_EQ(value(services)[1].name, example.names[1]);
        EXPECT_EQ(options_of(value(services)[0]).placement, example.first_placement);
        for (const auto& s : value(services)) {
            for (const auto& a : s.addresses) {
                EXPECT_EQ(from_wire(a).address >> 24U, 127U);
            }
        }
    }
}

}  // namespace
}  // namespace peridotcleat
