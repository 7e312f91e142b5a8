"""Tests that names in the documentation exist in the code.

Entries of the table of contents in docs/index.md are checked by the build of
the documentation with warnings as errors.
"""

import ast
import pathlib
import re
import shlex

import click
import pytest
import typer
from typer import testing

from ragwortchute import config
from ragwortchute import daemon
from ragwortchute import scraping
from ragwortchute.commands import main
from ragwortchute.gateway import metrics as gateway_metrics
from ragwortchute.gateway import part_metrics
from ragwortchute.operators import metrics
from ragwortchute.platform import settings

ROOT = pathlib.Path(__file__).resolve().parents[1]
PAGES = (
    ROOT / 'README.md',
    ROOT / 'CHANGES.md',
    *sorted((ROOT / 'docs').rglob('*.md')),
)
PACKAGE = ROOT / 'ragwortchute'

_CODE = re.compile(r'```(?s:.*?)```|`[^`\n]+`|^ {4}.*$', re.MULTILINE)
_FENCE = re.compile(r'^```[^\n]*\n(.*?)^```', re.MULTILINE | re.DOTALL)
_LINK = re.compile(r'\[[^\]]+\]\(([^)\s]+)\)')
# A path in code, such as `tests/test_docs.py` or `docs/index.md`.
_PATH = re.compile(
    r'(?<![\w/.<])((?:tests|benchmarks|standins|docs|ragwortchute)/'
    r'[\w./-]*[\w/])(?![\w<-])'
)
_MODULE = re.compile(r'python -m ([\w.]+)')
_MAKE = re.compile(r'(?<![\w-])make ([a-z][a-z-]*)')
# A command of a group, written without the tool, as in `doc apply`.
_GROUP_COMMAND = re.compile(r'`(doc|domain|calls) ([a-z-]+)')
_VARIABLE = re.compile(r'\bRAGWORTCHUTE_[A-Z_]*[A-Z]')
_METRIC = re.compile(r'\bragwortchute_[a-z_]+\b')
_FLAG = re.compile(r'(?<![\w-])--[a-z][a-z-]*')


def page_id(page):
    """Returns the path of a page relative to the root, as id of its tests."""
    return str(page.relative_to(ROOT))


def code_in_page(page):
    """Returns the code spans and code blocks of a page."""
    return '\n'.join(_CODE.findall(page.read_text()))


def slug(heading):
    """Returns the anchor that the documentation build generates."""
    kept = re.sub(r'[^\w\- ]', '', heading.strip().lower())
    return kept.replace(' ', '-')


def anchors(page):
    """Returns the anchors of the headings of a page."""
    found = re.findall(r'^#+ (.*)$', page.read_text(), re.MULTILINE)
    return {slug(heading) for heading in found}


def command_lines(page):
    """Returns the command lines of the tool and the daemon in a page."""
    code = code_in_page(page).replace('\\\n', ' ')
    lines = re.findall(
        r'(?:^ *\$ |`)((?:ragwortchute|ragwortchuted) [^`\n]+)',
        code,
        re.MULTILINE,
    )
    return [shlex.split(line) for line in lines]


def group():
    """Returns the root command of the tool."""
    return typer.main.get_command(main.app)


def all_commands(command):
    """Returns a command and all commands below it."""
    found = [command]
    for child in getattr(command, 'commands', {}).values():
        found += all_commands(child)
    return found


def flags_of(command):
    """Returns the options of a command."""
    flags = {'--help'}
    for param in command.params:
        if isinstance(param, click.Option) or param.param_type_name == 'option':
            flags.update(param.opts, param.secondary_opts)
    return flags


def find_command(words):
    """Returns the command that a command line runs, and its arguments."""
    command = daemon._command
    if words[0] == 'ragwortchute':
        command = group()
    rest = list(words[1:])
    while rest and hasattr(command, 'commands'):
        if rest[0] not in command.commands:
            break
        command = command.commands[rest.pop(0)]
    return command, rest


@pytest.mark.parametrize('page', PAGES, ids=page_id)
class TestNames:
    """Links, paths, commands, flags and other names in a page must exist."""

    def test_links_lead_to_files_and_headings(self, page):
        text = _FENCE.sub('', page.read_text())
        for target in _LINK.findall(text):
            if re.match(r'[a-z]+:', target):
                continue
            name, _, anchor = target.partition('#')
            file = (page.parent / name).resolve() if name else page
            assert file.is_file(), target
            assert not anchor or anchor in anchors(file), target

    def test_paths_exist(self, page):
        for name in _PATH.findall(code_in_page(page)):
            assert (ROOT / name).exists(), name

    def test_modules_exist(self, page):
        for name in _MODULE.findall(code_in_page(page)):
            path = ROOT / name.replace('.', '/')
            assert path.with_suffix('.py').is_file(), name

    def test_make_targets_exist(self, page):
        rules = re.findall(
            r'^([a-z][a-z-]*):', (ROOT / 'Makefile').read_text(), re.MULTILINE
        )
        for name in _MAKE.findall(code_in_page(page)):
            assert name in rules, name

    def test_commands_and_their_options_exist(self, page):
        for words in command_lines(page):
            command, rest = find_command(words)
            line = ' '.join(words)
            options = [w for w in rest if w.startswith('-')]
            named = [w for w in rest if not w.startswith('-')]
            if isinstance(command, click.Group) or hasattr(command, 'commands'):
                assert not named, line
            known = flags_of(command)
            for option in options:
                assert option.partition('=')[0] in known, line

    def test_commands_named_without_the_tool_exist(self, page):
        groups = group().commands
        for first, second in _GROUP_COMMAND.findall(page.read_text()):
            assert second in groups[first].commands, f'{first} {second}'

    def test_flags_in_text_exist(self, page):
        known = {setting.flag for setting in config.SETTINGS}
        for command in all_commands(group()):
            known |= flags_of(command)
        spans = re.findall(r'`(--[^`\n]+)`', page.read_text())
        for span in spans:
            for flag in _FLAG.findall(span):
                assert flag in known, flag

    def test_variables_exist(self, page):
        known = {setting.variable for setting in config.SETTINGS}
        known.add(settings.FILE_VARIABLE)
        for command in all_commands(group()):
            for param in command.params:
                envvar = param.envvar or ()
                known.update([envvar] if isinstance(envvar, str) else envvar)
        for name in _VARIABLE.findall(page.read_text()):
            assert name in known, name

    def test_metrics_exist(self, page):
        known = set()
        for module in (metrics, scraping, gateway_metrics, part_metrics):
            source = pathlib.Path(module.__file__).read_text()
            known.update(_METRIC.findall(source))
        for name in _METRIC.findall(page.read_text()):
            assert name in known, name


class TestDecisions:
    """A note must be listed in the index, or no reader finds it."""

    def test_index_lists_each_note_once(self):
        folder = ROOT / 'docs' / 'decisions'
        index = (folder / 'index.md').read_text()
        toctree = re.search(r'```\{toctree\}\n(.*?)```', index, re.DOTALL)
        listed = [
            line
            for line in toctree.group(1).split()
            if not line.startswith(':') and not line.isdigit()
        ]
        notes = {path.stem for path in folder.glob('*.md')} - {'index'}
        assert sorted(listed) == sorted(notes)


class TestReadme:
    """The example documents of the README must be valid."""

    def test_first_documents_pass_the_checks(self, tmp_path):
        blocks = re.findall(
            r'^```yaml\n(.*?)^```',
            (ROOT / 'README.md').read_text(),
            re.MULTILINE | re.DOTALL,
        )
        names = ('deployment.yaml', 'dispatch.yaml')
        assert len(blocks) == len(names)
        files = [tmp_path / name for name in names]
        for file, block in zip(files, blocks, strict=True):
            file.write_text(block)
        found = testing.CliRunner().invoke(
            main.app, ['doc', 'check', *map(str, files)]
        )
        assert found.exit_code == 0, found.output
        assert '2 valid' in found.output


# Functions and classes that are called with the reason of a refusal.
_REFUSAL_FACTORIES = {
    'HeadError',
    'Refusal',
    '_FailureMapping',
    '_encode_refusal',
    '_not_run',
    '_order_refusal',
    '_problem',
    '_refusal',
    '_refuse',
    '_refused',
    '_unknown',
    'refuse',
}
_GATEWAY_REFUSAL_FACTORIES = {
    'NoPlacement',
    'RelayResult',
    'StatedWait',
    'give_up',
    'refuse',
    '_refuse',
    'count_refusal',
    '_count_refusal',
}
# Functions that return the reason of a refusal, or '' for none.
_REASON_FUNCTIONS = {'_find_reason', 'offer', 'refusal_reason'}
_REASON = re.compile(r'[a-z]+(?:-[a-z]+)*\Z')


def reasons_in_call(call):
    """Returns the reasons passed to a refusal factory, if literal."""
    for keyword in call.keywords:
        if keyword.arg == 'reason':
            return literals(keyword.value)
    for arg in call.args:
        if isinstance(arg, ast.Name) and arg.id == 'reason':
            return set()
        if isinstance(arg, ast.Attribute) and arg.attr == 'reason':
            return set()
        if literals(arg):
            return literals(arg)
    return set()


def literals(node):
    """Returns the string literals that an expression may evaluate to."""
    if isinstance(node, ast.Constant):
        return {node.value} if isinstance(node.value, str) else set()
    if isinstance(node, ast.IfExp):
        return literals(node.body) | literals(node.orelse)
    if isinstance(node, ast.BoolOp):
        return set().union(*map(literals, node.values))
    return set()


def reasons_in_module(tree):
    """Returns the refusal reasons in the code of a module."""
    found = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Call):
            name = getattr(node.func, 'attr', getattr(node.func, 'id', ''))
            if name in _REFUSAL_FACTORIES:
                found |= reasons_in_call(node)
        elif isinstance(node, ast.Assign):
            names = [getattr(item, 'id', '') for item in node.targets]
            if 'reason' in names:
                found |= literals(node.value)
        elif (
            isinstance(node, ast.FunctionDef) and node.name in _REASON_FUNCTIONS
        ):
            for inner in ast.walk(node):
                if isinstance(inner, ast.Return) and inner.value:
                    found |= literals(inner.value)
    return found - {''}


def reasons_in_code():
    """Returns all refusal reasons of the caller protocol.

    The gateway answers with a status only. Its reasons appear in its log and
    are documented on a page of their own.
    """
    found = set()
    for path in sorted(PACKAGE.rglob('*.py')):
        if PACKAGE / 'gateway' not in path.parents:
            found |= reasons_in_module(ast.parse(path.read_text()))
    return found


def string_constants(tree):
    """Returns the constants of a module that are strings, by name."""
    return {
        node.targets[0].id: node.value.value
        for node in tree.body
        if isinstance(node, ast.Assign)
        and isinstance(node.value, ast.Constant)
        and isinstance(node.value.value, str)
    }


def gateway_reasons():
    """Returns the reasons for which the gateway gives up a request."""
    # The functions of this module return the reasons, which are its constants.
    identity = PACKAGE / 'gateway' / 'organisations' / 'identity.py'
    reasons = string_constants(ast.parse(identity.read_text()))
    found = set(reasons.values())
    for path in sorted((PACKAGE / 'gateway').rglob('*.py')):
        tree = ast.parse(path.read_text())
        constants = string_constants(tree)
        found |= {constants.get('OVER_QUOTA', '')}
        for node in ast.walk(tree):
            if not isinstance(node, ast.Call):
                continue
            name = getattr(node.func, 'attr', getattr(node.func, 'id', ''))
            if name not in _GATEWAY_REFUSAL_FACTORIES:
                continue
            for arg in [*node.args, *(item.value for item in node.keywords)]:
                found |= literals(arg)
                if isinstance(arg, ast.Name):
                    found |= {constants.get(arg.id, '')}
    return found - {''}


def reasons_in_operations():
    """Returns the reasons in the table of the gateway's documentation."""
    text = (ROOT / 'docs' / 'OPERATIONS.md').read_text()
    section = text.partition('## Reasons')[2].partition('\n## ')[0]
    return re.findall(r'^\| `([^`]+)` \|', section, re.MULTILINE)


def reasons_in_handbook():
    """Returns the reasons in the table of the operators' handbook."""
    text = (ROOT / 'docs' / 'operators.md').read_text()
    section = text.partition('## Read a refusal')[2].partition('\n## ')[0]
    return re.findall(r'^\| `([^`]+)` \|', section, re.MULTILINE)


class TestRefusals:
    """The documentation must list every reason of a refusal."""

    def test_reasons_are_found_in_all_forms_of_code(self):
        found = reasons_in_code()
        assert all(_REASON.match(reason) for reason in found), found
        assert found >= {
            'crashes-targets',  # keyword
            'domain-out',  # returned
            'head-too-large',  # HTTP server
            'leaving',  # conditional expression
            'no-domain',  # second positional argument
            'pending',
            'queue-full',
            'record-full',  # method
            'shed',  # table of attempt errors
            'too-many-headers',  # error in the request head
        }

    def test_handbook_lists_every_reason_of_the_code(self):
        assert reasons_in_code() <= set(reasons_in_handbook())

    def test_handbook_lists_every_reason_of_the_metrics(self):
        assert set(metrics.REASONS) <= set(reasons_in_handbook())

    def test_handbook_lists_only_known_reasons_once_and_in_order(self):
        listed = reasons_in_handbook()
        assert listed == sorted(set(listed))
        assert set(listed) <= reasons_in_code() | set(metrics.REASONS)

    def test_operations_list_every_reason_of_the_gateway(self):
        listed = reasons_in_operations()
        assert listed == sorted(set(listed))
        assert set(listed) == gateway_reasons()
