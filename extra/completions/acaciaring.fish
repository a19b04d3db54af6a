# Completion of acaciaring for fish.

set -l commands check publish retire in-force owner members load version

complete -c acaciaring -f
complete -c acaciaring -s m -l member -x -d 'Admin address of a member'
complete -c acaciaring -l format -x -a 'table json' -d 'Form of the output'
complete -c acaciaring -l timeout -x -d 'Time for the whole command'
complete -c acaciaring -l version -d 'Print the version'
complete -c acaciaring -l help -d 'Print the help'
complete -c acaciaring -n '__fish_seen_subcommand_from publish retire' -l base -x -d 'Version that the change is based on'
complete -c acaciaring -n '__fish_seen_subcommand_from in-force' -l wait -d 'Wait until in force at every member'
complete -c acaciaring -n '__fish_seen_subcommand_from check publish' -F
complete -c acaciaring -n '__fish_seen_subcommand_from retire' -a 'template parameters'
complete -c acaciaring -n "not __fish_seen_subcommand_from $commands" -a check -d 'Check files without a member; fill each template with the parameters among the files'
complete -c acaciaring -n "not __fish_seen_subcommand_from $commands" -a publish -d 'Publish files, templates first, and wait until each is in force at every member'
complete -c acaciaring -n "not __fish_seen_subcommand_from $commands" -a retire -d 'Retire a document; KIND is template or parameters'
complete -c acaciaring -n "not __fish_seen_subcommand_from $commands" -a in-force -d 'Show documents with their versions, and how far each member is'
complete -c acaciaring -n "not __fish_seen_subcommand_from $commands" -a owner -d 'Show who owns a key, who stands by, who serves it now, and why'
complete -c acaciaring -n "not __fish_seen_subcommand_from $commands" -a members -d 'Show the members'
complete -c acaciaring -n "not __fish_seen_subcommand_from $commands" -a load -d 'Show the load of the members'
complete -c acaciaring -n "not __fish_seen_subcommand_from $commands" -a version -d 'Show the version'
