#pragma once

#include "rattanrill/base/result.h"

#include <boost/program_options.hpp>

namespace rattanrill {

/// Parses the arguments of a program. Fails with InvalidArgument.
Result<boost::program_options::variables_map>
parseArguments(const boost::program_options::options_description &options, int argc, char **argv);

} // namespace rattanrill
