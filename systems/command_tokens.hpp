#pragma once

#include "systems/names.hpp"

#include <boost/spirit/home/x3.hpp>

#include <algorithm>
#include <charconv>
#include <string>
#include <string_view>
#include <vector>

// Terminals of the command grammar. Each reads one whole word, so that `20x`
// is one word that is no number.

namespace cowslippass::tokens
{

namespace x3 = boost::spirit::x3;

/// Where the furthest terminal failed, and what would have fitted there. As
/// the grammar never reads past a word that does not fit, this is the place of
/// the error.
struct furthest_failure
{
    void note(const char* position, const std::string& text)
    {
        if (position < where)
            return;
        if (position > where)
            expected.clear();
        where = position;
        if (std::find(expected.begin(), expected.end(), text) == expected.end())
            expected.push_back(text);
    }

    const char* where = nullptr;
    std::vector<std::string> expected;
};

/// Finds the `furthest_failure*` in a parser's context.
struct failure_tag;

inline bool is_space(char c)
{
    return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

inline void skip_space(const char*& first, const char* last)
{
    while (first != last && is_space(*first))
        ++first;
}

/// @return the end of the word at `first`: `=`, text in double quotes, or all
///   up to the next space or `=`.
inline const char* find_word_end(const char* first, const char* last)
{
    if (first != last && *first == '=')
        return first + 1;
    if (first != last && *first == '"')
    {
        const char* quote = std::find(first + 1, last, '"');
        return quote == last ? last : quote + 1;
    }
    return std::find_if(
        first, last, [](char c) { return is_space(c) || c == '='; });
}

/// Reads a word and converts it with `Convert`, which refuses what does not
/// fit by returning false.
template <class Value, bool (*Convert)(std::string_view, Value&)>
struct word_parser : x3::parser<word_parser<Value, Convert>>
{
    using attribute_type = Value;
    static constexpr bool has_attribute = true;

    /// @param text what the word is, for error messages.
    constexpr explicit word_parser(const char* text) : expected(text) {}

    template <class Context, class RuleContext, class Attribute>
    bool parse(const char*& first, const char* last, const Context& context,
        RuleContext&, Attribute& attribute) const
    {
        skip_space(first, last);
        const char* end = find_word_end(first, last);
        Value value{};
        if (!Convert({first, std::size_t(end - first)}, value))
        {
            x3::get<failure_tag>(context)->note(first, expected);
            return false;
        }
        x3::traits::move_to(std::move(value), attribute);
        first = end;
        return true;
    }

    const char* expected;
};

/// Reads exactly the given word; an empty one stands for the end of the text.
struct keyword_parser : x3::parser<keyword_parser>
{
    using attribute_type = x3::unused_type;
    static constexpr bool has_attribute = false;

    constexpr explicit keyword_parser(std::string_view text) : word(text) {}

    template <class Context, class RuleContext, class Attribute>
    bool parse(const char*& first, const char* last, const Context& context,
        RuleContext&, Attribute&) const
    {
        skip_space(first, last);
        const char* end = find_word_end(first, last);
        if (std::string_view(first, std::size_t(end - first)) != word)
        {
            x3::get<failure_tag>(context)->note(first, get_expected());
            return false;
        }
        first = end;
        return true;
    }

    std::string get_expected() const
    {
        if (word.empty())
            return "the end of the statement";
        return "'" + std::string(word) + "'";
    }

    std::string_view word;
};

template <class Id>
bool convert_name(std::string_view word, Id& out)
{
    if (!is_name(word))
        return false;
    out = Id(std::string(word));
    return true;
}

template <class Number>
bool convert_number(std::string_view word, Number& out)
{
    const char* end = word.data() + word.size();
    auto [stop, ec] = std::from_chars(word.data(), end, out);
    return ec == std::errc() && stop == end;
}

template <class Strong>
bool convert_strong_number(std::string_view word, Strong& out)
{
    typename Strong::value_type n{};
    if (!convert_number(word, n))
        return false;
    out = Strong(n);
    return true;
}

inline bool convert_address(std::string_view word, std::string& out)
{
    out = word;
    return is_address(word);
}

/// A value in a filter: a word or text in double quotes.
inline bool convert_value(std::string_view word, std::string& out)
{
    bool is_quoted =
        word.size() >= 2 && word.front() == '"' && word.back() == '"';
    out = is_quoted ? word.substr(1, word.size() - 2) : word;
    return is_quoted || (!word.empty() && word != "=" &&
                            word.find('"') == std::string_view::npos);
}

} // namespace cowslippass::tokens
