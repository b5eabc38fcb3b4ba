#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace cowslippass
{

/// Base of the errors of every layer. Each layer throws its own type and
/// translates those of the layers below.
class error : public std::runtime_error
{
public:
    /// @param code stable, machine-readable identifier in lower case with
    ///   underscores.
    /// @param message one sentence for operators and callers.
    error(std::string code, const std::string& message)
        : std::runtime_error(message), code_(std::move(code))
    {
    }

    const std::string& get_code() const { return code_; }

private:
    std::string code_;
};

/// A function of `core` failed, or a value does not have the form that it
/// requires.
class core_error : public error
{
public:
    using error::error;
};

/// A decision system (the code in `systems`) refused an input or a change.
class systems_error : public error
{
public:
    using error::error;
};

/// Input or output failed, for example settings, sockets, frames or HTTP.
class platform_error : public error
{
public:
    using error::error;
};

} // namespace cowslippass
