#include "rattanrill/settings/arguments.h"

namespace rattanrill {

namespace po = boost::program_options;

Result<po::variables_map> parseArguments(const po::options_description &options, int argc,
                                         char **argv)
{
    try {
        po::variables_map values;
        po::store(po::command_line_parser(argc, argv).options(options).run(), values);
        po::notify(values);
        return values;
    } catch (const po::error &error) {
        return fail(notRun(ErrorCode::InvalidArgument, error.what()));
    }
}

} // namespace rattanrill
