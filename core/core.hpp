#pragma once

/// Public header of the core library: ids, units, errors, hashes and the
/// transaction type that every other layer uses.

#include "core/boot_clock.hpp"
#include "core/errors.hpp"
#include "core/hashing.hpp"
#include "core/strong_id.hpp"
#include "core/transaction.hpp"
#include "core/units.hpp"
