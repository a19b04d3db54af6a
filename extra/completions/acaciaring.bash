# Completion of acaciaring for bash.

_acaciaring() {
    local current=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD - 1]}
    local commands="check publish retire in-force owner members load version"
    local options="--member --format --timeout --base --wait --version --help"
    case $previous in
        --format) mapfile -t COMPREPLY < <(compgen -W "table json" -- "$current") ;;
        --member | -m | --timeout | --base) COMPREPLY=() ;;
        check | publish) mapfile -t COMPREPLY < <(compgen -f -- "$current") ;;
        retire) mapfile -t COMPREPLY < <(compgen -W "template parameters" -- "$current") ;;
        *)
            if [[ $current == -* ]]; then
                mapfile -t COMPREPLY < <(compgen -W "$options" -- "$current")
            elif [[ " ${COMP_WORDS[*]} " =~ \ (check|publish)\  ]]; then
                mapfile -t COMPREPLY < <(compgen -f -- "$current")
            else
                mapfile -t COMPREPLY < <(compgen -W "$commands" -- "$current")
            fi
            ;;
    esac
}

complete -o filenames -F _acaciaring acaciaring
