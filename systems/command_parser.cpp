#include "systems/command_parser.hpp"

#include "systems/command_tokens.hpp"

namespace cowslippass
{

namespace
{

using namespace tokens;

/// Stores a parsed word in a member of the statement.
template <auto Member>
struct store_action
{
    template <class Context>
    void operator()(const Context& context) const
    {
        x3::_val(context).*Member = std::move(x3::_attr(context));
    }
};
template <auto Member>
constexpr store_action<Member> store{};

/// Sets a member of the statement when a keyword was read.
template <auto Member, auto Value>
struct assign_action
{
    template <class Context>
    void operator()(const Context& context) const
    {
        x3::_val(context).*Member = Value;
    }
};
template <auto Member, auto Value>
constexpr assign_action<Member, Value> assign{};

/// Makes a statement the result of a rule that combines several.
struct keep_action
{
    template <class Context>
    void operator()(const Context& context) const
    {
        x3::_val(context) = std::move(x3::_attr(context));
    }
};
constexpr keep_action keep{};

struct add_filter_action
{
    template <class Context>
    void operator()(const Context& context) const
    {
        x3::_val(context).where.push_back(std::move(x3::_attr(context)));
    }
};
constexpr add_filter_action add_filter{};

/// Parses one name and stores it in a member.
template <auto Member, class Id>
constexpr auto name(Id, const char* expected)
{
    return word_parser<Id, convert_name<Id>>(expected)[store<Member>];
}

template <auto Member>
auto team()
{
    return name<Member>(team_id(), "a team name");
}

template <auto Member>
auto pool()
{
    return name<Member>(pool_id(), "a pool name");
}

template <auto Member>
auto centre()
{
    return name<Member>(data_centre_id(), "a data centre name");
}

template <auto Member>
auto instance()
{
    return name<Member>(instance_id(), "an instance name");
}

template <auto Member>
auto key(const char* expected = "a key name")
{
    return name<Member>(key_id(), expected);
}

template <auto Member>
auto field()
{
    return name<Member>(std::string(), "a field name");
}

template <auto Member>
auto number()
{
    return word_parser<std::uint32_t, convert_number<std::uint32_t>>(
        "a number")[store<Member>];
}

template <auto Member, class Number>
auto number(Number)
{
    return word_parser<Number, convert_strong_number<Number>>(
        "a number")[store<Member>];
}

keyword_parser word(std::string_view text)
{
    return keyword_parser(text);
}

template <class Statement>
auto rule()
{
    return x3::rule<Statement, Statement>{"statement"};
}

const auto create_team_def = rule<create_team_command>() =
    word("team") >> team<&create_team_command::team>() >>
    -(word("share") >> number<&create_team_command::share>()) >>
    word("limit") >> number<&create_team_command::limit>(task_count());

const auto create_pool_def = rule<create_pool_command>() =
    word("pool") >> pool<&create_pool_command::pool>() >>
    -(word("max-unavailable") >>
        number<&create_pool_command::max_unavailable>()) >>
    -word("spare")[assign<&create_pool_command::is_spare, true>];

using queue_command = create_queue_command;
const auto create_queue_def = rule<create_queue_command>() =
    word("queue") >> name<&queue_command::queue>(queue_id(), "a queue name") >>
    word("pool") >> pool<&queue_command::pool>() >>
    (word("urgent")[assign<&queue_command::kind, queue_kind::urgent>] |
        word("slow")[assign<&queue_command::kind, queue_kind::slow>]) >>
    -word("non-idempotent")[assign<&queue_command::is_idempotent, false>] >>
    -word("open")[assign<&queue_command::is_open, true>] >>
    -(word("team") >> team<&queue_command::team>());

const auto create_centre_def = rule<create_data_centre_command>() =
    word("data-centre") >> centre<&create_data_centre_command::data_centre>();

const auto set_team_def = rule<set_team_command>() =
    word("team") >> team<&set_team_command::team>() >>
    ((word("share") >> number<&set_team_command::share>() >>
         -(word("limit") >> number<&set_team_command::limit>(task_count()))) |
        (word("limit") >> number<&set_team_command::limit>(task_count())));

const auto set_pool_def = rule<set_pool_command>() =
    word("pool") >> pool<&set_pool_command::pool>() >>
    word("max-unavailable") >> number<&set_pool_command::max_unavailable>();

using serve_command = serve_data_centre_command;
const auto take_centre_def = rule<serve_command>() =
    word("data-centre") >> centre<&serve_command::data_centre>() >>
    word("out")[assign<&serve_command::is_in_service, false>];

const auto bring_centre_def = rule<serve_command>() =
    word("data-centre") >> centre<&serve_command::data_centre>() >>
    word("back")[assign<&serve_command::is_in_service, true>];

/// `instance NAME`, with the change that the word before or after it asks for.
template <instance_change Change>
auto one_instance()
{
    return word("instance")[assign<&change_instance_command::change, Change>] >>
           instance<&change_instance_command::instance>();
}

const auto take_instance_def = rule<change_instance_command>() =
    one_instance<instance_change::take_out>() >> word("out");
const auto bring_instance_def = rule<change_instance_command>() =
    one_instance<instance_change::bring_back>() >> word("back");
const auto drain_def = rule<change_instance_command>() =
    word("drain") >> one_instance<instance_change::drain>();
const auto maintain_def = rule<change_instance_command>() =
    word("maintain") >> one_instance<instance_change::maintain>();

using add_command = add_instance_command;
const auto add_instance_def = rule<add_command>() =
    word("add") >> word("instance") >> instance<&add_command::instance>() >>
    word("data-centre") >> centre<&add_command::data_centre>() >>
    word("rack") >> name<&add_command::rack>(rack_id(), "a rack name") >>
    word("address") >>
    word_parser<std::string, convert_address>(
        "an address IP:port")[store<&add_command::address>] >>
    word("pool") >> pool<&add_command::pool>() >>
    -(word("slots") >> number<&add_command::slots>(slot_count())) >>
    -(word("memory") >> number<&add_command::memory>(byte_count()));

const auto remove_instance_def = rule<remove_instance_command>() =
    word("remove") >>
    word("instance") >> instance<&remove_instance_command::instance>();

const auto move_instance_def = rule<move_instance_command>() =
    word("move") >>
    word("instance") >> instance<&move_instance_command::instance>() >>
    word("to") >> word("pool") >> pool<&move_instance_command::pool>();

const auto grant_key_def = rule<grant_key_command>() =
    word("key") >> key<&grant_key_command::key>() >> word("to") >>
    word("team") >> team<&grant_key_command::team>();

const auto grant_operator_def = rule<grant_operator_command>() =
    word("operator") >> key<&grant_operator_command::id>("an operator name");

const auto withdraw_key_def = rule<withdraw_key_command>() =
    word("key") >> key<&withdraw_key_command::key>();

const auto withdraw_operator_def = rule<withdraw_operator_command>() =
    word("operator") >> key<&withdraw_operator_command::id>("an operator name");

const auto change_def = rule<change_command>() =
    (word("create") >> (create_team_def[keep] | create_pool_def[keep] |
                           create_queue_def[keep] | create_centre_def[keep])) |
    (word("set") >> (set_team_def[keep] | set_pool_def[keep])) |
    (word("take") >> (take_centre_def[keep] | take_instance_def[keep])) |
    (word("bring") >> (bring_centre_def[keep] | bring_instance_def[keep])) |
    (word("grant") >> (grant_key_def[keep] | grant_operator_def[keep])) |
    (word("withdraw") >>
        (withdraw_key_def[keep] | withdraw_operator_def[keep])) |
    add_instance_def[keep] | remove_instance_def[keep] | drain_def[keep] |
    move_instance_def[keep] | maintain_def[keep];

const auto cancel_def = rule<cancel_command>() =
    word("cancel") >>
    ((word("job") >> name<&cancel_command::what>(job_id(), "a job id")) |
        (word("jobs") >> word("of") >> word("team") >>
            team<&cancel_command::what>()));

const auto filter_def = rule<query_filter>() =
    field<&query_filter::field>() >>
    word("=") >> word_parser<std::string, convert_value>(
                     "a value")[store<&query_filter::value>];

const auto query_def = rule<query_command>() =
    word("show") >>
    name<&query_command::table>(std::string(), "a table name") >>
    -(word("where") >> (filter_def[add_filter] % word("and"))) >>
    -(word("order") >> word("by") >> field<&query_command::order_by>() >>
        -word("desc")[assign<&query_command::is_descending, true>]) >>
    -(word("limit") >> number<&query_command::limit>()) >>
    -(word("count") >> word("by") >> field<&query_command::count_by>());

const auto admit_def = rule<admit_command>() = word("admit") >> word("this") >>
                                               word("entry");

const auto command_def = rule<command>() =
    (change_def[keep] | cancel_def[keep] | query_def[keep] | admit_def[keep]) >>
    word("");

std::string join(const std::vector<std::string>& words)
{
    std::string out;
    for (std::size_t i = 0; i < words.size(); ++i)
    {
        if (i > 0)
            out += i + 1 == words.size() ? " or " : ", ";
        out += words[i];
    }
    return out;
}

} // namespace

command_syntax_error::command_syntax_error(
    std::size_t column, const std::string& expected)
    : systems_error("syntax", "at column " + std::to_string(column) + ": " +
                                  expected + " was expected"),
      column_(column), expected_(expected)
{
}

command parse_command(std::string_view text)
{
    const char* first = text.data();
    const char* last = first + text.size();
    furthest_failure failure;
    failure.where = first;
    command out;
    auto parser = x3::with<failure_tag>(&failure)[command_def];
    if (x3::parse(first, last, parser, out))
        return out;
    auto column = static_cast<std::size_t>(failure.where - text.data()) + 1;
    throw command_syntax_error(column, join(failure.expected));
}

std::size_t get_table_column(std::string_view text)
{
    const char* last = text.data() + text.size();
    const char* first = text.data();
    skip_space(first, last);
    first = find_word_end(first, last);
    skip_space(first, last);
    return static_cast<std::size_t>(first - text.data()) + 1;
}

} // namespace cowslippass
